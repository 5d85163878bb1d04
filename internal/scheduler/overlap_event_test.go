package scheduler_test

import "time"

// overlapEvent is something that happens at a time; equal times keep their order.
type overlapEvent struct {
	at    time.Time
	order int
	do    func()
}
