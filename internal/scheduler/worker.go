package scheduler

import (
	"time"

	"persimmonbay/internal/answertime"
)

// worker is a worker of the pool, which runs tasks. When it restarts under its name,
// the same worker value is reused for the new incarnation. incarnation is the one that
// answered last: the start of its process, Unix time in milliseconds, or 0 if none has
// answered. The pool's lock guards all fields.
type worker struct {
	info              WorkerInfo
	listed            bool      // it is on the platform's list
	emptying          bool      // its machine is being emptied
	offered           bool      // its machine is offered to other pools
	listedAt          time.Time // when its incarnation was first listed
	pollWanted        bool      // it is to be polled although nothing is known to run there
	rostered          bool      // the saved roster does not name it as down: the next owner expects that any task may run there
	fenced            bool      // it has seen this owner's fencing token, and a reply since then was applied: what runs there is known
	endsKnown         bool      // it is fenced, and its replies have listed all ends of runs that this owner did not order
	reachable         bool      // it answered the last poll or order
	silent            bool      // it did not answer the last poll or order; both are false before the first
	replaced          bool      // a worker with another ID has answered in its place: it refuses all calls for this one
	lost              bool      // its incarnation has ended: another one runs at its address or on its machine
	incarnation       int64
	formerIncarnation int64 // start of the preceding incarnation, Unix time in milliseconds: its poll replies are ignored; 0: none
	clock             clockReading
	pollSentAt        time.Time // when the last answered poll was sent; zero: the next reply may be from another incarnation
	pollAnsweredAt    time.Time // when the reply to that poll was received
	polledAt          time.Time // when the poll was requested whose outcome is not known yet; zero: there is none
	unanswered        int       // polls that waited as long as without known answer times or longer, and got no reply, since the last quick one
	hasty             int       // polls that waited less and got no reply, since then
	answers           answertime.Peer
	refusals          int           // polls in a row that failed without a wait
	polledTimeout     time.Duration // how long that poll waits for its reply
	polledAddress     string        // the address of that poll
	polledIncarnation int64         // the incarnation that it was for; 0: not known
	pollInterrupted   bool          // a plan has asked to end that poll, because the worker is lost
	tokenStep         int64         // lowest bits of the fencing token of calls to it
	seenToken         int64         // highest fencing token of a poll whose reply showed what its present incarnation runs
	heldEnds          []heldEnd     // in the order of their numbers
	heldUpTo          int64         // ends up to this number are held or were
	openStartUntil    time.Time     // until when a later incarnation of it may carry out an open start; zero: there is none
	runs              map[runKey]*run
	mayNeedOrders     bool // some of runs may need a stop or a repeated start
	used              Resources
	unknownRuns       int   // runs whose jobs the pool does not have
	appliedEnds       int64 // ends up to this number are applied
	listsMore         bool  // it had more ends than its last reply listed
	ackableEnds       int64 // ends up to this number are saved and may be acknowledged
	ackedEnds         int64 // ends up to this number are acknowledged
	ackedIncarnation  int64 // the one whose ends the last poll acknowledged that did so
	ackToken          int64 // fencing token of the last poll that acknowledged ends, while it has no reply; 0: none is open
	endMarks          []endMark
	unsavedEnds       []unsavedEnd  // in the order of their numbers
	expiresAt         time.Time     // by then all leases that this owner granted have expired
	leaseSentAt       time.Time     // when a call was last sent that extends leases
	extendedUntil     time.Time     // the same for leases that were extended before its runs were known; zero: none was
	blockedUntil      time.Time     // no start before it: the worker refused a start or did not answer
	startsRefused     startRefusals // as unhealthy, since it last carried one out
	suspendedUntil    time.Time     // no start before it: tasks of several jobs failed there
	suspension        time.Duration
	failedJobs        map[string]bool // jobs of which a task failed there since the last success
}

func newWorker(info WorkerInfo) *worker {
	return &worker{info: info, listed: true, mayNeedOrders: true, runs: make(map[runKey]*run), failedJobs: make(map[string]bool)}
}

// free returns the capacity that no run reserves.
func (w *worker) free() Resources { return w.info.Capacity.Minus(w.used) }

// noteUnhealthy records that the worker refused a start as unhealthy. Starts that were sent
// before it was blocked do not count.
func (w *worker) noteUnhealthy(now time.Time) {
	pause := blockAfterFailure
	if !now.Before(w.blockedUntil) {
		pause = w.startsRefused.add()
	}
	w.block(now.Add(pause))
}

// isPresent reports whether a call to the given address and incarnation was for the present
// incarnation, as far as it is known.
func (w *worker) isPresent(address string, incarnation int64) bool {
	return address == w.info.Address && incarnation == w.incarnation
}

// usable reports whether new tasks may start there at now.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.describesPresent() && !w.info.Draining && !w.vacating() && !w.lost && w.fenced && w.reachable && w.rostered && w.unknownRuns == 0 &&
		!now.Before(w.blockedUntil) && !now.Before(w.suspendedUntil)
}

// describesPresent reports whether the platform's entry is of the incarnation that answered
// last, as far as both are known. Another one may have other labels and another capacity.
func (w *worker) describesPresent() bool {
	return w.info.Incarnation == 0 || w.incarnation == 0 || w.info.Incarnation == w.incarnation
}

// isDown reports whether the worker does not answer, as far as polls show that waited long
// enough.
func (w *worker) isDown() bool { return !w.reachable && (w.hasty == 0 || w.unanswered > 0) }

// vacating reports whether the worker's machine is being emptied or is offered to
// other pools, so that no task may start there.
func (w *worker) vacating() bool { return w.emptying || w.offered }

// inService reports whether the worker counts as capacity of the pool. A worker that
// is blocked or suspended for a moment counts too.
func (w *worker) inService() bool {
	return w.listed && !w.info.Draining && !w.vacating() && !w.lost && w.fenced && w.reachable
}

// hasLongRunning reports whether a long-running task runs there, or a run whose job
// the pool does not have.
func (w *worker) hasLongRunning() bool {
	for _, r := range w.runs {
		if r.stage == nil || r.stage.step.LongRunning {
			return true
		}
	}
	return false
}

// needsPoll reports whether the worker has to be polled.
func (w *worker) needsPoll() bool {
	return !w.lost && (!w.endsKnown || !w.reachable || w.pollWanted || len(w.runs) > 0 || w.appliedEnds > w.ackedEnds)
}

// answered records that the worker's present incarnation has answered a poll.
func (w *worker) answered(reply *PollReply, timing *Timing) {
	w.refusals, w.pollWanted = 0, false
	if timing.isQuick(reply.ReceivedAt.Sub(reply.SentAt)) {
		w.unanswered, w.hasty = 0, 0
	}
	w.incarnation = reply.Incarnation
	w.clock = clockReading{readAt: reply.ReceivedAt, millis: reply.Clock}
	w.reachable, w.silent = true, false
	w.pollSentAt, w.pollAnsweredAt = reply.SentAt, reply.ReceivedAt
}

// extendUnknownRuns records that leases there may last until the given time, of runs that
// this owner does not know yet.
func (w *worker) extendUnknownRuns(until time.Time) {
	w.extendedUntil = Later(w.extendedUntil, until)
	w.expiresAt = Later(w.expiresAt, until)
}

// pollOver records that the outcome of the last poll is known.
func (w *worker) pollOver() { w.polledAt, w.pollInterrupted = time.Time{}, false }

// replyOutstanding reports whether a poll has no outcome yet that may have reached the
// worker before its leases expired. Its reply may have been read, and lists what has
// ended by then.
func (w *worker) replyOutstanding() bool {
	return !w.polledAt.IsZero() && w.polledAt.Before(w.expiresAt)
}

// hasOpenCopy reports whether the last copy of a start has no answer, and no reply has shown
// its run. One that only a list of all ends can settle does not count while the ends that are
// listed leave no room for others: that would never end.
func (w *worker) hasOpenCopy() bool {
	for _, r := range w.runs {
		if r.copyOpen && (r.phase == starting || !w.listsMore) {
			return true
		}
	}
	return false
}

// mayAckEnds reports whether a poll sent at now is sure to reach the incarnation that
// reported the applied ends: it answered recently, and no order since then has been
// unanswered for longer than maxOrderTransit. Another incarnation numbers its ends
// anew, so the acknowledgement would drop ends that were never applied. Nor may it leave
// while a copy of a start is open: if both are late, another incarnation may end that run
// before it carries out the poll.
func (w *worker) mayAckEnds(now time.Time) bool {
	if w.pollSentAt.IsZero() || now.Sub(w.pollAnsweredAt) > incarnationFreshFor {
		return false
	}
	if w.hasOpenCopy() {
		return false
	}
	for _, r := range w.runs {
		if sent := r.sentAt(); r.phase != running && sent.After(w.pollSentAt) && now.Sub(sent) > maxOrderTransit {
			return false
		}
	}
	return true
}

const (
	// incarnationFreshFor is how long a reply proves which incarnation runs. A worker
	// cannot restart and run a whole task in that time.
	incarnationFreshFor = 500 * time.Millisecond
	// maxOrderTransit is how long an order may be in transit before it counts as
	// unanswered. A task that it starts cannot have ended by then.
	maxOrderTransit = 100 * time.Millisecond
)

// idle reports whether no run is going on or possible there, and all ends are known and saved.
func (w *worker) idle() bool { return w.endsKnown && w.nothingPending() }

// nothingPending reports whether this owner knows of no run there and of no end to be saved.
func (w *worker) nothingPending() bool { return len(w.runs) == 0 && len(w.unsavedEnds) == 0 }

// isOver reports whether nothing runs there and no next owner has to know of the worker:
// it is lost, or it does not answer and the ends that it may still list are saved.
func (w *worker) isOver() bool {
	if w.lost {
		return len(w.runs) == 0
	}
	return w.nothingPending() && (!w.reachable || !w.fenced)
}

// block prevents starts on the worker until the given time, or a later one set before.
func (w *worker) block(until time.Time) {
	if until.After(w.blockedUntil) {
		w.blockedUntil = until
	}
}

// succeeded records that a task was done there.
func (w *worker) succeeded() {
	w.suspension = 0
	clear(w.failedJobs)
}

// failed records that a task of job failed there. It suspends the worker when tasks of
// several jobs failed with no success between them: failures of one job alone can be
// the job's own fault.
func (w *worker) failed(job string, now time.Time, timing *Timing) {
	w.failedJobs[job] = true
	if len(w.failedJobs) < suspendAfterJobs {
		return
	}
	w.suspension = min(max(2*w.suspension, timing.FirstSuspension), timing.MaxSuspension)
	w.suspendedUntil = now.Add(w.suspension)
	clear(w.failedJobs)
}

// suspendAfterJobs is the number of jobs that have to fail on a worker, with no
// success between them, before the worker is suspended.
const suspendAfterJobs = 2
