package scheduler_test

import "time"

// simRun is a run on a simulated worker.
type simRun struct {
	attempt int
	endsAt  time.Time
	fails   bool // it ends as failed
}
