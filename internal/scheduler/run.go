package scheduler

import "time"

// run is one attempt of a task on a worker. The pool's lock guards it.
type run struct {
	id             TaskID
	task           *task // nil when the task does not need the run
	stage          *stage
	attempt        int
	worker         *worker
	phase          runPhase
	orderedAt      time.Time
	answeredAt     time.Time // when the start was answered, or the run first listed
	askedAt        time.Time // when the last copy of the start was given up
	lostCopy       bool      // the answer to a start was lost: a copy may come later
	deadline       int64     // of the start, on the worker's clock, in milliseconds
	reserved       Resources
	unknownJob     bool // of a job that is not known: nobody knows what it takes
	percent        int  // share of its speed at which the worker says it works
	gauge          int
	wantStop       bool      // a stop must be ordered
	stopIfUnlisted bool      // only because the worker has started again
	stopSentAt     time.Time // of the last stop; zero: none
	stoppedAt      time.Time // when a stop was answered; zero: not yet
	pace           int       // the share last ordered
	pacedAt        time.Time
	ticket         string
	checkpoint     string // that the run starts from
}

// sentAt returns when the start, or its last copy, was ordered.
func (r *run) sentAt() time.Time { return Later(r.orderedAt, r.askedAt) }

// end has a stop ordered.
func (r *run) end() { r.wantStop, r.worker.attend = true, true }

// confirm takes in that the worker's present incarnation lists the run: it need not be
// stopped for the sake of an earlier incarnation.
func (r *run) confirm() {
	if r.stopIfUnlisted && r.stopSentAt.IsZero() {
		r.wantStop = false
	}
	r.stopIfUnlisted = false
}

// markStartUnknown records that it is not known whether the run began.
func (r *run) markStartUnknown() { r.phase, r.worker.attend = startUnknown, true }

// open reports whether the run has to be stopped, or its start repeated.
func (r *run) open() bool { return (r.wantStop || r.phase == startUnknown) && r.stoppedAt.IsZero() }
