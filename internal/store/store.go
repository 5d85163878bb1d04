package store

import (
	"context"
	"time"
)

// Store is a linearizable key-value store. Errors are *problem.Error of the kinds
// NotFound, Conflict (which wraps a *ConflictError), Compacted, Overloaded and
// Unavailable, after which the call had no effect, or Interrupted and Timeout,
// after which a change may have taken effect or may do so later.
type Store interface {
	// Get returns the item of key.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items whose key begins with prefix. The items are not a
	// snapshot. The revision was current before they were read, so that a watch
	// from it misses no change.
	Range(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// RangePage returns the page of items under prefix that begins after a key; with
	// an empty key, the first one.
	RangePage(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes under prefix after a revision and the revision for
	// the next watch. It waits for changes for at most wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
	// Commit applies txn atomically and returns the revision of the change.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its TTL, counted from the time at which the store
	// receives the call.
	Renew(ctx context.Context, id int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id int64) error
}
