package scheduler

import "time"

// heldEnd is an end that may not be acknowledged before the given time, nor those after it.
// An end that was never acknowledged does not count if its task starts once more.
type heldEnd struct {
	number int64
	until  time.Time
}
