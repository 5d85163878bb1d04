package entry

import "time"

// storeRead is a successful read from the store.
type storeRead struct {
	startedAt time.Time // zero: there was none
	revision  uint64    // of the store, up to which the read returned all changes
}
