package store

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Created  int64 // revision of its creation
	Lease    int64 // 0: none

	// Unreadable tells that only the key holds, and the revision as a bound: the
	// rest could not be read. The key is empty if it could not be read either.
	Unreadable bool
}
