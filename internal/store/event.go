package store

// Event is one change: an item as written, or a key that is gone.
type Event struct {
	Item
	Deleted bool
}
