package scheduler_test

import "time"

// overlapStart is a start that a worker has carried out.
type overlapStart struct {
	at          time.Time
	incarnation string
	attempt     int
	token       int64
}
