package ledger

// Snapshot is a shard's log as it stands in the store at one revision.
type Snapshot struct {
	Batches []StoredBatch
	Indexes []Index
}
