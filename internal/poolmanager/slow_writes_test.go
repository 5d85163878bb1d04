package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// slowWrites is a store that responds to writes of states after delay.
type slowWrites struct {
	*fakeStore
	delay time.Duration
}

// Commit commits the transaction after delay, or not at all if ctx ends before.
func (s *slowWrites) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if s.writesPrefix(&txn, poolstore.StatePrefix(sceneService)) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(s.delay):
		}
	}
	return s.fakeStore.Commit(ctx, txn)
}
