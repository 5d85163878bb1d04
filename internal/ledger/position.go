package ledger

// position says where in the ring a record stands.
type position struct {
	seq uint64
	at  int
}
