package entry

import (
	"context"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
)

// losingStore executes every write and then returns an error, as if its answer
// were lost.
type losingStore struct{ platform.Store }

// Put implements platform.Store.
func (s *losingStore) Put(ctx context.Context, key string, value []byte, condition platform.Condition, lease platform.LeaseID) (uint64, error) {
	_, _ = s.Store.Put(ctx, key, value, condition, lease)
	return 0, problem.New(problem.Interrupted, problem.StepStoreWrite, "", "answer lost")
}
