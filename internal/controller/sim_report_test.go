package controller_test

import "time"

// simReport is the content of the last heartbeat received from an entry.
type simReport struct {
	at             time.Time
	revision       uint64
	storeReachable bool
}
