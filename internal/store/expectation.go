package store

// Expectation is a condition of a transaction: the key was last changed at
// Revision, or does not exist if Revision is 0.
type Expectation struct {
	Key      string
	Revision int64
}
