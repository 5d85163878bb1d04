package store

import (
	"context"
	"time"
)

// Store is a linearizable key-value store. Errors are *problem.Error: NotFound,
// Conflict (a *ConflictError), Compacted, Overloaded and Unavailable (nothing
// was done), and Interrupted or Timeout (it may have been done, or may be).
type Store interface {
	// Get returns the item of key.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items whose key begins with prefix. The items are no
	// snapshot; the revision is one from before they were read.
	Range(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits for changes after a revision, at most for wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
	// Commit writes all or nothing and returns the revision of the change.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease from the arrival of the call.
	Renew(ctx context.Context, id int64) error
	// Revoke ends a lease; its keys go with it.
	Revoke(ctx context.Context, id int64) error
}
