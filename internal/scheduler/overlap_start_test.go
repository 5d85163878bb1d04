package scheduler_test

import "time"

// overlapStart is the start of a run on a worker, ordered by the owner with token.
type overlapStart struct {
	at          time.Time
	incarnation string
	attempt     int
	token       int64
}
