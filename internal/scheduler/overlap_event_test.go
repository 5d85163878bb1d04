package scheduler_test

import "time"

// overlapEvent is a call of do at a given time. Events of equal times run in the order of
// their sequence numbers.
type overlapEvent struct {
	at       time.Time
	sequence int
	do       func()
}
