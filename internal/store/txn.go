package store

// MaxTxnEntries is the maximum number of conditions, writes and deletions in one
// transaction, all together. It is a limit of the platform's interface.
const MaxTxnEntries = 32

// Txn is a set of changes that the store applies atomically, if all conditions
// hold.
type Txn struct {
	Expected []Expectation // conditions
	Writes   []Write
	Deletes  []string // keys
}

// Entries returns the number of conditions, writes and deletions.
func (t *Txn) Entries() int { return len(t.Expected) + len(t.Writes) + len(t.Deletes) }
