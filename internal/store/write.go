package store

// Write sets a key.
type Write struct {
	Key   string
	Value []byte
	Lease int64 // 0: the key stays until it is removed
}
