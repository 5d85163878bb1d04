package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"persimmonbay/internal/work"
)

// fakeWorkers answers every poll as an incarnation that began at born.
type fakeWorkers struct {
	born  int64
	polls atomic.Int64
}

var _ Workers = (*fakeWorkers)(nil)

func (*fakeWorkers) Start(context.Context, work.StartOrder) (work.OrderResult, int64) {
	return work.Accepted, 1
}

func (*fakeWorkers) Stop(context.Context, work.StopOrder) work.OrderResult { return work.Accepted }

func (*fakeWorkers) Throttle(context.Context, work.ThrottleOrder) work.OrderResult {
	return work.Accepted
}

func (w *fakeWorkers) Poll(_ context.Context, r work.PollRequest) (work.PollReply, work.OrderResult) {
	w.polls.Add(1)
	return work.PollReply{Worker: r.Worker, SentAt: time.Now(), ReceivedAt: time.Now(), Incarnation: w.born, Clock: 45}, work.Accepted
}

func (*fakeWorkers) Forget(string) {}
