package store

// Event is one change: an item that was written, or a key that was deleted.
type Event struct {
	Item
	Deleted bool
}
