package store

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Created  int64 // revision of its creation
	Lease    int64 // 0: none
}
