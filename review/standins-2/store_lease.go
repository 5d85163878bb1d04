package main

import (
	"time"
)

// storeLease is a lease of the store.
type storeLease struct {
	ttl time.Duration
	end time.Time
}
