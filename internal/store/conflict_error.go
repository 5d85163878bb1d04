package store

import "fmt"

// ConflictError is the error of a transaction whose conditions do not all hold.
type ConflictError struct {
	Items []Item // current items of the conditions that failed, without keys that do not exist
}

// Error returns a message with the number of items.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction not committed: another change was committed first (%d items)", len(e.Items))
}

// Find returns the current item of key and whether it is among Items.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, i := range e.Items {
		if i.Key == key {
			return i, true
		}
	}
	return Item{}, false
}
