package intake

// Announcer tells a pool's owner of what the store has kept, without waiting
// for it.
type Announcer interface {
	// Accepted tells of a job; value is the job as kept at revision.
	Accepted(service, id string, value []byte, revision int64)
	// Cancelled tells that a job was cancelled at revision.
	Cancelled(service, id string, revision int64)
}
