package lending

import "time"

// Offer is a machine that its pool can spare, or that was taken from standby.
type Offer struct {
	Pool    string
	Target  string    // the pool for which it was taken; empty: not taken
	TakenAt time.Time // time of day at which it was taken
}
