package store

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // revision of its last change
	Created  int64 // revision of its creation
	Lease    int64 // ID of the lease that the key depends on; 0: none

	// Unreadable is set if the item could not be decoded. Then only Key is valid,
	// and Revision is an upper bound. Key is empty if it could not be decoded
	// either.
	Unreadable bool
}
