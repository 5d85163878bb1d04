package store

import "fmt"

// ConflictError tells which of a transaction's conditions do not hold, by the
// items in their current state. Keys that do not exist are not among them.
type ConflictError struct {
	Items []Item
}

// Error counts the items.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another change came first (%d items)", len(e.Items))
}

// Find returns the item of key.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, i := range e.Items {
		if i.Key == key {
			return i, true
		}
	}
	return Item{}, false
}
