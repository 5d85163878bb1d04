package ledger_test

import (
	"context"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
)

// reusedKeys is a store without one safeguard. It behaves as if each batch had a
// key of its own that is deleted once the batch is folded, so a write that
// expects an old version succeeds.
type reusedKeys struct {
	platform.Store
}

func (s reusedKeys) Put(ctx context.Context, key string, value []byte, c platform.Condition, lease platform.LeaseID) (uint64, error) {
	version, err := s.Store.Put(ctx, key, value, c, lease)
	expected, _ := c.Version()
	if current, getErr := s.Store.Get(ctx, key); err != nil && getErr == nil && current.Version > expected+deletedAfter {
		return s.Store.Put(ctx, key, value, platform.Any(), lease)
	}
	return version, err
}

func (s reusedKeys) Get(ctx context.Context, key string) (api.KeyValue, error) {
	return s.Store.Get(ctx, key)
}

// deletedAfter is the number of versions after which the version of a slot counts
// as deleted.
const deletedAfter = ledger.RingSlots
