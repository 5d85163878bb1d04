package slots

import "time"

// Terms are the bounds of one upstream.
type Terms struct {
	Capacity     int           // concurrent requests over all entries
	DrainTimeout time.Duration // after a holder became absent, until none of its requests can be in flight
}
