package ledger

// position locates a record in the ring: the sequence number of its batch and
// its index in the batch's records.
type position struct {
	seq uint64
	at  int
}
