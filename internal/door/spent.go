package door

import "time"

// Spent is a team that has sent all that its weight allows: what it sends goes after all
// that is within.
type Spent struct {
	Team string
	For  time.Duration // from the time of the report until the weight allows the next job
}
