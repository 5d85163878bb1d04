package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapEnd is an end as the users' rules see it.
type overlapEnd struct {
	incarnation string
	row         scheduler.EndReport
	at          time.Time
	lapsed      bool // the worker's lease ended before anybody took note
	noted       bool
}
