package ledger

// Snapshot is a shard's log in the store at one revision, without the records of
// segments.
type Snapshot struct {
	Batches []StoredBatch
	Indexes []Index
}
