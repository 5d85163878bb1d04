package scheduler

import "time"

// heldEnd is an end that may not be acknowledged before the given time: an open start of its
// task could start it once more. An end that was never acknowledged does not count.
type heldEnd struct {
	number int64
	until  time.Time
}
