package intake

import (
	"context"

	"persimmonbay/internal/door"
)

// OwnerNotifier returns the owners of pools, and notifies them of committed changes
// without waiting for them.
type OwnerNotifier interface {
	// Owner returns the last known owner of a pool.
	Owner(service string) Owner
	// Accepted notifies owner of a job that was accepted under its ownership;
	// value is the job as stored at revision.
	Accepted(owner Owner, service, id string, value []byte, revision int64)
	// Cancelled notifies the pool's owner that a job was cancelled at revision.
	Cancelled(service, id string, revision int64)
	// Pending asks the pool's owner how many jobs of a queue have not begun; known is
	// false if it does not answer.
	Pending(ctx context.Context, service, queue string) (jobs int, known bool)
	// Report returns the last report of the pool's owner on the work ahead, nil if there is
	// none.
	Report(service string) *door.Report
}
