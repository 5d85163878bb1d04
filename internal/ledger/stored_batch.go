package ledger

// StoredBatch is a batch with the version that the store assigned to its slot.
type StoredBatch struct {
	Batch
	Version uint64
}
