package ledgerstore_test

import (
	"context"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
)

// haltingStore is the store of an entry that is killed after a number of deletes:
// all further deletes fail.
type haltingStore struct {
	platform.Store
	deletes int // number of further deletes that take effect
}

func (s *haltingStore) Delete(ctx context.Context, key string, c platform.Condition) error {
	if s.deletes == 0 {
		return problem.New(problem.Unavailable, problem.StepStoreWrite, "platform", "killed")
	}
	s.deletes--
	return s.Store.Delete(ctx, key, c)
}
