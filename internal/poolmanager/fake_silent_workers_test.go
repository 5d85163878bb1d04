package poolmanager

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/scheduler"
)

// fakeSilentWorkers answers no poll, and lets its time pass on the clock. It passes on
// each request, and until when the poller would have waited for its reply.
type fakeSilentWorkers struct {
	fakeWorkers
	clock     *clockwork.FakeClock
	requests  chan scheduler.PollRequest
	deadlines chan time.Time
}

func (w *fakeSilentWorkers) Poll(ctx context.Context, r scheduler.PollRequest) (scheduler.PollReply, scheduler.OrderResult) {
	deadline, _ := ctx.Deadline()
	select {
	case <-ctx.Done():
	case w.requests <- r:
		w.deadlines <- deadline
		w.clock.Advance(r.Wait + r.Timeout)
	}
	return scheduler.PollReply{}, scheduler.NoResponse
}
