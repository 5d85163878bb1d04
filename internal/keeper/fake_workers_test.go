package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"persimmonbay/internal/work"
)

// fakeWorkers answers every look as a incarnation that began at born.
type fakeWorkers struct {
	born  int64
	looks atomic.Int64
}

var _ Workers = (*fakeWorkers)(nil)

func (*fakeWorkers) Start(context.Context, work.StartOrder) (work.Answer, int64) {
	return work.Accepted, 1
}

func (*fakeWorkers) Stop(context.Context, work.StopOrder) work.Answer { return work.Accepted }

func (*fakeWorkers) Pace(context.Context, work.PaceOrder) work.Answer { return work.Accepted }

func (w *fakeWorkers) Look(_ context.Context, r work.LookRequest) (work.Look, work.Answer) {
	w.looks.Add(1)
	return work.Look{Worker: r.Worker, SentAt: time.Now(), ReceivedAt: time.Now(), Incarnation: w.born, Clock: 45}, work.Accepted
}

func (*fakeWorkers) Forget(string) {}
