package store

// MaxTxnEntries is how many conditions, writes and removals a transaction holds
// at most, all together. It comes from the platform's interface.
const MaxTxnEntries = 32

// Txn is a change that is made whole, or not at all.
type Txn struct {
	Expected []Expectation
	Writes   []Write
	Deletes  []string
}

// Entries counts what the transaction holds.
func (t *Txn) Entries() int { return len(t.Expected) + len(t.Writes) + len(t.Deletes) }
