package replay

import "persimmonbay/internal/fleet"

// upstream models one upstream instance: each request takes the time of its work,
// and without coordination requests above the slots are refused.
type upstream struct {
	instance    fleet.Instance
	slots       int
	inFlight    int
	maxInFlight int
	refused     int // requests
	dead        bool
}
