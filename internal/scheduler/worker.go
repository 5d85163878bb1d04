package scheduler

import "time"

// worker is one incarnation of a worker process, which runs tasks. The pool's lock guards it.
type worker struct {
	info              WorkerInfo
	listed            bool      // the platform lists it
	leaving           bool      // its machine is being emptied
	offered           bool      // its machine is offered to other pools
	since             time.Time // when it was first listed
	rostered          bool      // the next owner would know that anything may run there
	fenced            bool      // it has seen this owner's token
	reachable         bool      // its last poll or order was answered
	silent            bool      // its last poll or order was not answered
	lost              bool      // another incarnation answers at its address
	incarnation       int64
	formerIncarnation int64 // start of the incarnation before, in milliseconds: its polls say nothing of this one; 0: none
	clock             clockReading
	pollSentAt        time.Time // when the last poll that was answered was sent; zero: the incarnation that answers next may be another
	pollAnsweredAt    time.Time // when its answer came
	runs              map[runKey]*run
	attend            bool // some of runs may be open
	used              Resources
	unknownRuns       int   // runs of jobs that are not known
	appliedEnds       int64 // ends up to this number were taken in
	ackableEnds       int64 // ends up to this number may be forgotten
	ackedEnds         int64 // the worker was told that ends up to this number may be forgotten
	marks             []endMark
	unsavedEnds       []unsavedEnd // by number
	expiresAt         time.Time    // after it nothing that this owner ordered runs on there
	blocked           time.Time    // no start before it: the worker refused or was not reached
	suspended         time.Time    // no start before it: it fails what it runs
	suspension        time.Duration
	failedJobs        map[string]bool // jobs of which a task failed there since the last that was done
}

func newWorker(facts WorkerInfo) *worker {
	return &worker{info: facts, listed: true, attend: true, runs: make(map[runKey]*run), failedJobs: make(map[string]bool)}
}

// free returns the capacity that no run takes.
func (w *worker) free() Resources { return w.info.Capacity.Minus(w.used) }

// usable reports whether new tasks may start there at now.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.info.Draining && !w.held() && !w.lost && w.fenced && w.reachable && w.rostered && w.unknownRuns == 0 &&
		!now.Before(w.blocked) && !now.Before(w.suspended)
}

// held reports whether nothing new may start there for its machine's sake.
func (w *worker) held() bool { return w.leaving || w.offered }

// inService reports whether the worker counts among those that the pool works
// with, also while it takes nothing for a moment.
func (w *worker) inService() bool {
	return w.listed && !w.info.Draining && !w.held() && !w.lost && w.fenced && w.reachable
}

// lasting reports whether a task that lasts runs there.
func (w *worker) lasting() bool {
	for _, r := range w.runs {
		if r.stage == nil || r.stage.step.LongRunning {
			return true
		}
	}
	return false
}

// needsPoll reports whether the worker has to be asked what runs there.
func (w *worker) needsPoll() bool {
	return !w.lost && (!w.fenced || !w.reachable || len(w.runs) > 0 || w.appliedEnds > w.ackedEnds)
}

// mayAckEnds reports whether a poll at now reaches the incarnation that listed the ends
// taken in: it answered lately, and no order was left without an answer since.
func (w *worker) mayAckEnds(now time.Time) bool {
	if w.pollSentAt.IsZero() || now.Sub(w.pollAnsweredAt) > incarnationFreshFor {
		return false
	}
	for _, r := range w.runs {
		if sent := r.sentAt(); r.phase != running && sent.After(w.pollSentAt) && now.Sub(sent) > orderQuick {
			return false
		}
	}
	return true
}

const (
	// incarnationFreshFor is how long an answer speaks for the worker's incarnation: too short for
	// a restart and a whole run of a task.
	incarnationFreshFor = 500 * time.Millisecond
	// orderQuick is how long an order may be on its way before it counts as
	// unanswered: what it starts cannot have ended by then.
	orderQuick = 100 * time.Millisecond
)

// idle reports whether nothing runs there, or may run, and all ends are saved.
func (w *worker) idle() bool { return len(w.runs) == 0 && len(w.unsavedEnds) == 0 }

// block keeps new tasks away until a time.
func (w *worker) block(until time.Time) {
	if until.After(w.blocked) {
		w.blocked = until
	}
}

// succeeded takes in that a task was done there.
func (w *worker) succeeded() {
	w.suspension = 0
	clear(w.failedJobs)
}

// failed takes in that a task of job failed there, and suspends the worker
// when tasks of several jobs failed one after the other: a task that fails by
// its own fault speaks against its job only.
func (w *worker) failed(job string, now time.Time, timing *Timing) {
	w.failedJobs[job] = true
	if len(w.failedJobs) < suspiciousJobs {
		return
	}
	w.suspension = min(max(2*w.suspension, timing.FirstSuspension), timing.MaxSuspension)
	w.suspended = now.Add(w.suspension)
	clear(w.failedJobs)
}

// suspiciousJobs is how many jobs must fail on a worker, with no task done
// between them, before the fault is taken to be the worker's.
const suspiciousJobs = 2
