package controller_test

import "time"

// simWord is what an entry last heard from another.
type simWord struct {
	at             time.Time
	revision       uint64
	storeReachable bool
}
