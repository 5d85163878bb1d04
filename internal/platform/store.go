package platform

import (
	"context"
	"time"

	"persimmonbay/internal/platform/api"
)

// Store is the key-value part of the platform's service.
//
// Errors are *problem.Error. A write that fails with kind Unavailable had no
// effect; with kind Interrupted or Timeout nobody can tell, and the caller
// reads back what it wrote.
type Store interface {
	// Get returns the key, or an error of kind NotFound.
	Get(ctx context.Context, key string) (api.KeyValue, error)
	// List returns all keys under prefix at one revision.
	List(ctx context.Context, prefix string) (api.Listing, error)
	// Put writes the key if condition holds and returns its new version, or an
	// error of kind Conflict. The key goes when a non-empty lease lapses.
	Put(ctx context.Context, key string, value []byte, condition Condition, lease LeaseID) (uint64, error)
	// Delete removes the key if condition holds.
	Delete(ctx context.Context, key string, condition Condition) error
	// Watch waits up to wait for events under prefix after the revision. It
	// returns an error of kind Compacted when the revision is too old.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error)
}
