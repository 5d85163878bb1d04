package ledger

// StoredBatch is a batch with the version that the store gave it.
type StoredBatch struct {
	Batch
	Version uint64
}
