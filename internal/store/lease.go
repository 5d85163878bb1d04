package store

import "time"

// Lease is a lease of the store. Keys that depend on it are deleted when it
// expires.
type Lease struct {
	ID  int64
	TTL time.Duration
}
