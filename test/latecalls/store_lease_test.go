package latecalls

import "time"

// storeLease is a lease of an entry: its keys are removed when the timer fires.
type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}
