package latecalls

// storeTxn is a transaction: conditions, writes and deletions.
type storeTxn struct {
	Expected []storeItem `json:"expected"` // of which only the key and the revision count
	Writes   []storeItem `json:"writes"`   // of which only the key, the value and the lease count
	Remove   []string    `json:"remove"`
}
