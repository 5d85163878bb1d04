package intake_test

import (
	"context"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// lateWrites loses the answer of the next write if keep is set, and keeps it to be carried out later.
type lateWrites struct {
	*muteStore
	kept []store.Txn
	keep bool
}

// Commit keeps the transaction if keep is set, and else commits it.
func (s *lateWrites) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if s.keep {
		s.keep = false
		s.kept = append(s.kept, txn)
		return 0, problem.New(problem.Timeout, problem.StepStoreWrite, "", "no answer")
	}
	return s.muteStore.Commit(ctx, txn)
}
