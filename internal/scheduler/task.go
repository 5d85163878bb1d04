package scheduler

import "time"

// task is one task of an occurrence. A next run starts from checkpoint, the last one
// that a worker reported. The pool's lock guards it.
type task struct {
	id          TaskID
	flat        int // number of the task within the whole job
	stage       *stage
	attempt     int // the last one ordered, or reported by a worker
	done        bool
	checkpoint  string
	run         *run       // that goes on, may go on or is being stopped; nil: none
	notBefore   time.Time  // earliest next start
	avoidWorker string     // the worker on which it last failed
	former      *FormerRun // for the logs: its last run that is over; nil: none is known
}

// startable reports whether the task is not done, has no run, and may start at now.
func (t *task) startable(now time.Time) bool {
	return !t.done && t.run == nil && !now.Before(t.notBefore)
}

// atFullSpeed reports whether the task is known to run at its full speed at now.
func (t *task) atFullSpeed(now time.Time) bool {
	return t.run != nil && t.run.phase == running && !t.run.wantStop && t.run.percent >= fullSpeedPercent && t.run.worker.reachable &&
		now.Sub(t.run.reportedAt) <= reportFreshFor
}

// fullSpeedPercent is the share of its speed at which a run that is not throttled works.
const fullSpeedPercent = 100

// reportFreshFor is how long after a poll was sent its reply shows that a task is at
// work. Polls of idle workers wait for a second, so the next reply is applied two seconds
// after the poll was sent, and the order timeout (0.7 s) later at the latest. A task that
// was at work within this time is not away for the users' bound (notice_ms, 4.5 s) before
// a stop that relies on it has ended its run.
const reportFreshFor = 2700 * time.Millisecond
