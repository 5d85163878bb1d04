package scheduler

import (
	"time"

	"persimmonbay/internal/quota"
)

// run is one attempt of a task on a worker. The pool's lock guards it.
type run struct {
	id             TaskID
	task           *task // nil: no task needs the run, it is only to be stopped
	stage          *stage
	attempt        int
	worker         *worker
	incarnation    int64 // of the worker that its start is for: the start of its process, Unix time in milliseconds; 0: any
	phase          runPhase
	orderedAt      time.Time
	answeredAt     time.Time     // when the start was answered or a poll first listed the run; zero: neither
	resentAt       time.Time     // when the start was last sent again, or the last such copy timed out; zero: it was not sent again
	copies         int           // copies of its start that were sent before the last one
	timeout        time.Duration // how long the answer to the last copy is waited for, and until a further copy at least
	token          int64         // fencing token of the last copy of its start
	ran            bool          // an incarnation has accepted it, or listed it or its end
	copyOpen       bool          // that copy has no answer, and no reply has shown the run
	openUntil      time.Time     // until when an earlier copy may be carried out by a later incarnation; zero: there is none
	unansweredAt   time.Time     // when the time for an answer to that copy had passed; zero: it has not
	absent         bool          // a reply has shown that no copy sent so far is or will be carried out by its incarnation
	outdated       bool          // the worker refused its start, as the same or a later attempt has ended there
	refused        bool          // the last copy was refused or not sent, and a reply has yet to show what became of the earlier ones
	deadline       int64         // until which the worker accepts the start, on its clock, in milliseconds; 0: none
	reserved       Resources
	charge         quota.Charge
	adopted        bool      // this owner did not order it
	unknownJob     bool      // the pool does not have its job, so its resources are not known
	percent        int       // share of its full speed that the worker reports
	reportedAt     time.Time // when the poll was sent whose reply last listed the run; zero: none has
	latencyOrUsage int       // as in RunReport
	wantStop       bool      // a stop has to be ordered
	movesOff       bool      // wantStop is set only because its task is to start on another worker
	stopSentAt     time.Time // when the last stop was sent; zero: never
	stopRetryAt    time.Time // when a stop without a good answer is sent again
	stopsLost      int       // stops in a row that got no answer
	stoppedAt      time.Time // from then on nothing starts it: its stop was answered, or its start was refused as late or outdated; zero: not yet
	orderedPercent int       // share of its full speed that was last ordered
	throttledAt    time.Time
	ticket         string
	checkpoint     string // the checkpoint that the run starts from
	trace          runTrace
}

// sentAt returns when the start, or the last copy of it, was ordered.
func (r *run) sentAt() time.Time { return Later(r.orderedAt, r.resentAt) }

// repeatAt returns when a start that got no answer may be sent again.
func (r *run) repeatAt() time.Time { return r.sentAt().Add(r.timeout) }

// requestStop makes the next plan order a stop, whatever it takes away.
func (r *run) requestStop() { r.wantStop, r.movesOff, r.worker.mayNeedOrders = true, false, true }

// requestMove makes plans order a stop for as long as the task may be moved.
func (r *run) requestMove() {
	r.requestStop()
	r.movesOff = true
}

// seen records that an incarnation of the worker lists the run or its end, so that one copy
// of its start was carried out: the last one, unless a later incarnation took an earlier one.
func (r *run) seen(incarnation int64, t *Timing) {
	if r.copyOpen && incarnation != r.incarnation && !r.openUntil.IsZero() {
		r.openUntil = Later(r.openUntil, Later(r.sentAt(), r.unansweredAt).Add(t.LateCalls))
	}
	r.ran, r.copyOpen, r.absent, r.refused = true, false, false, false
}

// sent records that a copy of the start is sent with the given fencing token.
func (r *run) sent(token int64) {
	r.token, r.copyOpen, r.absent, r.unansweredAt = token, true, false, time.Time{}
}

// markStartUnknown records that the outcome of the start order is unknown.
func (r *run) markStartUnknown() { r.phase, r.worker.mayNeedOrders = startUnknown, true }

// needsOrder reports whether the run has to be stopped or its start repeated.
func (r *run) needsOrder() bool {
	return (r.wantStop || r.phase == startUnknown) && r.stoppedAt.IsZero()
}
