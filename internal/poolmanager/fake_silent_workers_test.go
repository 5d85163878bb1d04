package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/scheduler"
)

// fakeSilentWorkers answers no poll. It passes on each request, and until when the poller
// would have waited for its reply.
type fakeSilentWorkers struct {
	fakeWorkers
	requests  chan scheduler.PollRequest
	deadlines chan time.Time
}

func (w *fakeSilentWorkers) Poll(ctx context.Context, r scheduler.PollRequest) (scheduler.PollReply, scheduler.OrderResult) {
	deadline, _ := ctx.Deadline()
	select {
	case <-ctx.Done():
	case w.requests <- r:
		w.deadlines <- deadline
	}
	return scheduler.PollReply{}, scheduler.NoResponse
}
