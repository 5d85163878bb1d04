package controller_test

import "time"

// simReport is what an entry last heard from another.
type simReport struct {
	at             time.Time
	revision       uint64
	storeReachable bool
}
