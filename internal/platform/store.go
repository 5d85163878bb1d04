package platform

import (
	"context"
	"time"

	"persimmonbay/internal/platform/api"
)

// Store is the key-value part of the platform's service.
//
// Errors are *problem.Error. A write that fails with kind Unavailable had no
// effect. After kind Interrupted or Timeout its outcome is unknown, and the
// caller has to read the key to find it out.
type Store interface {
	// Get returns the key, or an error of kind NotFound.
	Get(ctx context.Context, key string) (api.KeyValue, error)
	// List returns all keys under prefix at one revision.
	List(ctx context.Context, prefix string) (api.Listing, error)
	// Put writes the key if condition holds and returns its new version, or an
	// error of kind Conflict. If lease is not empty, the key is deleted when that
	// lease expires.
	Put(ctx context.Context, key string, value []byte, condition Condition, lease LeaseID) (uint64, error)
	// Delete deletes the key if condition holds. It returns an error of kind
	// Conflict if condition does not hold, and NotFound if the key does not exist.
	Delete(ctx context.Context, key string, condition Condition) error
	// Watch returns the events under prefix after the revision after. It waits for
	// one for up to wait. It returns an error of kind Compacted if the store no
	// longer has the events after that revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error)
}
