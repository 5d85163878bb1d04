package store

// Expectation is a condition of a transaction: the key is at the revision. A
// revision of 0 means that the key does not exist.
type Expectation struct {
	Key      string
	Revision int64
}
