package door

import "time"

// Pace is how long the steps of a queue's jobs take.
type Pace struct {
	Queue string
	Step  time.Duration // mean
}
