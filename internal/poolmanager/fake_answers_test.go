package poolmanager

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/scheduler"
)

// fakeAnswers answers each start with the same result, after some time on the clock.
type fakeAnswers struct {
	fakeWorkers
	answer scheduler.OrderResult
	took   time.Duration
	clock  *clockwork.FakeClock
}

func (w *fakeAnswers) Start(context.Context, scheduler.StartOrder, Permission) (scheduler.OrderResult, int64) {
	w.clock.Advance(w.took)
	return w.answer, 0
}
