package intake

// OwnerNotifier knows pools' owners, and tells them of what the store has kept,
// without waiting for them.
type OwnerNotifier interface {
	// Owner returns the owner of a pool, which may have changed by now.
	Owner(service string) Owner
	// Accepted tells owner of a job accepted under it; value is the job as stored at
	// revision.
	Accepted(owner Owner, service, id string, value []byte, revision int64)
	// Cancelled tells that a job was cancelled at revision.
	Cancelled(service, id string, revision int64)
}
