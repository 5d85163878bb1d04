package store

// Page is a part of the items under a prefix, in the order of their keys.
type Page struct {
	Items    []Item
	Revision int64  // revision of the store, current before the page was read
	Next     string // key after which the next page begins; empty: this is the last one
}
