package intake_test

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// slowStore refuses every change after some time. A caller that gives up before
// that does not know whether it was made.
type slowStore struct {
	store.Store
	answer time.Duration
}

// Commit refuses the change.
func (s *slowStore) Commit(ctx context.Context, _ store.Txn) (int64, error) {
	select {
	case <-ctx.Done():
		return 0, problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", ctx.Err())
	case <-time.After(s.answer):
		return 0, problem.New(problem.Unavailable, problem.StepStoreWrite, "", "refused")
	}
}
