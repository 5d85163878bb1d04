package slots

import "time"

// Terms are the bounds of one upstream.
type Terms struct {
	Capacity     int           // requests at work at once, over all entries
	DrainTimeout time.Duration // after a holder has gone, until its requests are surely over
}
