package ledger_test

import (
	"context"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
)

// reusedKeys is a store sabotaged as if batches stood under keys of their own
// that are deleted once folded: a write that demands an old version finds
// nothing in its way.
type reusedKeys struct {
	platform.Store
}

func (s reusedKeys) Put(ctx context.Context, key string, value []byte, c platform.Condition, lease platform.LeaseID) (uint64, error) {
	version, err := s.Store.Put(ctx, key, value, c, lease)
	demanded, _ := c.Version()
	if current, getErr := s.Store.Get(ctx, key); err != nil && getErr == nil && current.Version > demanded+lapBatches {
		return s.Store.Put(ctx, key, value, platform.Any(), lease)
	}
	return version, err
}

func (s reusedKeys) Get(ctx context.Context, key string) (api.KeyValue, error) {
	return s.Store.Get(ctx, key)
}

// lapBatches is how many writes ago a slot's version counts as deleted.
const lapBatches = ledger.RingSlots
