package store

// Write sets the value of a key.
type Write struct {
	Key   string
	Value []byte
	Lease int64 // the key is deleted when this lease ends; 0: it stays until it is deleted
}
