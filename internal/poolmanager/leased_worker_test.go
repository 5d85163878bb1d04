package poolmanager

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/scheduler"
)

// leasedWorker is a worker with runs of a former owner, which end when its lease does.
// Its clock is the scene's. mu guards the fields below it.
type leasedWorker struct {
	clock clockwork.Clock
	born  time.Time // when its clock showed zero

	mu      sync.Mutex
	silent  bool
	running []scheduler.RunReport
	ends    []scheduler.EndReport
	lease   int64 // end of the lease, on its clock, in milliseconds
	lapsed  bool  // the lease ended before it was extended
	acked   int64 // the highest acknowledgement received
	polls   int
	stops   []scheduler.StopOrder
	starts  []scheduler.StartOrder
}

var _ Workers = (*leasedWorker)(nil)

// newLeasedWorker returns a worker whose lease was extended just now for the given time.
func newLeasedWorker(clock clockwork.Clock, lease time.Duration, running ...scheduler.RunReport) *leasedWorker {
	return &leasedWorker{clock: clock, born: clock.Now().Add(-time.Hour), lease: (time.Hour + lease).Milliseconds(), running: running}
}

func (w *leasedWorker) now() int64 { return w.clock.Now().Sub(w.born).Milliseconds() }

// expire ends the runs if the lease has ended.
func (w *leasedWorker) expire() {
	if len(w.running) > 0 && w.now() > w.lease {
		w.lapsed, w.running = true, nil
	}
}

// remaining returns how long the lease lasts.
func (w *leasedWorker) remaining() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	return time.Duration(w.lease-w.now()) * time.Millisecond
}

// counts returns how many polls, starts and stops the worker has received.
func (w *leasedWorker) counts() (polls, starts, stops int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polls, len(w.starts), len(w.stops)
}

func (w *leasedWorker) Start(_ context.Context, o scheduler.StartOrder, _ Permission) (scheduler.OrderResult, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, o)
	w.running = append(w.running, scheduler.RunReport{Task: o.Task, Attempt: o.Attempt, Percent: 100})
	w.lease = max(w.lease, o.Deadline)
	return scheduler.Accepted, w.now()
}

func (w *leasedWorker) Stop(_ context.Context, o scheduler.StopOrder, _ Permission) scheduler.OrderResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, o)
	return scheduler.Accepted
}

func (w *leasedWorker) Throttle(context.Context, scheduler.ThrottleOrder, Permission) scheduler.OrderResult {
	return scheduler.Accepted
}

// Poll replies at once, or not until ctx ends while the worker is silent or asked to
// wait for an end.
func (w *leasedWorker) Poll(ctx context.Context, r scheduler.PollRequest) (scheduler.PollReply, scheduler.OrderResult) {
	sent := w.clock.Now()
	w.mu.Lock()
	w.polls++
	silent := w.silent
	if !silent {
		w.expire()
		w.lease, w.acked = max(w.lease, r.Deadline), max(w.acked, r.AckedEnds)
	}
	reply := scheduler.PollReply{
		Worker: r.Worker, SentAt: sent, AckedEnds: r.AckedEnds, Incarnation: 1, Clock: w.now(),
		Running: append([]scheduler.RunReport(nil), w.running...), Ends: append([]scheduler.EndReport(nil), w.ends...),
	}
	w.mu.Unlock()
	if silent {
		return scheduler.PollReply{}, scheduler.NoResponse
	}
	if r.Wait > 0 {
		sleep(ctx, w.clock, r.Wait)
	}
	reply.ReceivedAt = w.clock.Now()
	return reply, scheduler.Accepted
}

func (*leasedWorker) CloseIdle(string) {}
