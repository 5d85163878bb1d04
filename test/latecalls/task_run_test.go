package latecalls

import "time"

// taskRun is one run of a task on an incarnation of a worker. The ledger's lock guards the
// fields from endedAt on.
type taskRun struct {
	task        string
	attempt     int64
	worker      string
	incarnation int // 1: the first one
	token       int64
	owner       string    // the entry that owned the pool with token
	sentTo      int       // the incarnation that the call with the start reached first
	sentAt      time.Time // when the call reached the worker's address
	late        bool      // the call got no answer and was carried out later
	startedAt   time.Time

	endedAt  time.Time // zero: it runs
	how      string    // how it ended; "crashed": with its worker
	extender *call     // set the end of the lease that held when it ended, or when its end was acknowledged
	notedAt  time.Time // when its end was acknowledged; zero: it was not
	lapsed   bool      // its worker's lease lapsed between the end and the acknowledgement
}

// done reports whether the run counts as done: its end was acknowledged in time.
func (r *taskRun) done() bool { return r.how == endDone && !r.notedAt.IsZero() && !r.lapsed }

// Ends of a run, as workers list them; the last one is never listed.
const (
	endDone    = "done"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	endCrashed = "crashed"
)
