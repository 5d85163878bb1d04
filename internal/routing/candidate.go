package routing

// Candidate is what Choose knows about one upstream.
type Candidate struct {
	AvailabilityZone string
	Free             int // requests that may start now
	InUse            int // requests in flight
}
