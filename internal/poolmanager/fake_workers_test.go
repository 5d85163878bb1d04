package poolmanager

import (
	"context"
	"sync/atomic"
	"time"

	"persimmonbay/internal/scheduler"
)

// fakeWorkers accepts every order, and replies to every poll as the given incarnation.
type fakeWorkers struct {
	incarnation int64
	polls       atomic.Int64
}

var _ Workers = (*fakeWorkers)(nil)

func (*fakeWorkers) Start(context.Context, scheduler.StartOrder, Permission) (scheduler.OrderResult, int64) {
	return scheduler.Accepted, 1
}

func (*fakeWorkers) Stop(context.Context, scheduler.StopOrder, Permission) scheduler.OrderResult {
	return scheduler.Accepted
}

func (*fakeWorkers) Throttle(context.Context, scheduler.ThrottleOrder, Permission) scheduler.OrderResult {
	return scheduler.Accepted
}

func (w *fakeWorkers) Poll(_ context.Context, r scheduler.PollRequest) (scheduler.PollReply, scheduler.OrderResult) {
	w.polls.Add(1)
	return scheduler.PollReply{Worker: r.Worker, SentAt: time.Now(), ReceivedAt: time.Now(), Incarnation: w.incarnation, Clock: 45}, scheduler.Accepted
}

func (*fakeWorkers) CloseIdle(string) {}
