package intake

// OwnerNotifier returns the owners of pools and notifies them of committed
// changes, without waiting for them.
type OwnerNotifier interface {
	// Owner returns the last known owner of a pool.
	Owner(service string) Owner
	// Accepted notifies owner of a job that was accepted under its ownership;
	// value is the job as stored at revision.
	Accepted(owner Owner, service, id string, value []byte, revision int64)
	// Cancelled notifies the pool's owner that a job was cancelled at revision.
	Cancelled(service, id string, revision int64)
}
