package store

import "time"

// Lease is a time-limited hold on keys.
type Lease struct {
	ID  int64
	TTL time.Duration
}
