package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapEnd is the end of a run on a worker.
type overlapEnd struct {
	incarnation    string
	report         scheduler.EndReport
	at             time.Time
	expiredUnacked bool // the worker's lease expired before the end was acknowledged
	acked          bool // it was acknowledged to the worker
}
