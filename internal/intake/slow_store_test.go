package intake_test

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// slowStore refuses every transaction after responseTime. When ctx ends earlier,
// the outcome is unknown to the caller.
type slowStore struct {
	store.Store
	responseTime time.Duration
}

// Commit refuses the transaction.
func (s *slowStore) Commit(ctx context.Context, _ store.Txn) (int64, error) {
	select {
	case <-ctx.Done():
		return 0, problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", ctx.Err())
	case <-time.After(s.responseTime):
		return 0, problem.New(problem.Unavailable, problem.StepStoreWrite, "", "refused")
	}
}
