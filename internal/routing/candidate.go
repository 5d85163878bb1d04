package routing

// Candidate is one upstream as Choose sees it.
type Candidate struct {
	AvailabilityZone string
	Free             int // requests that may start now
	InUse            int // requests at work
}
