package scheduler

import "time"

// task is one task of an occurrence. The pool's lock guards it.
type task struct {
	id         TaskID
	flat       int // number within the job
	stage      *stage
	attempt    int // the last one ordered or seen
	done       bool
	checkpoint string
	run        *run      // what runs, may run or is being stopped; nil: nothing
	notBefore  time.Time // earliest next start
	avoid      string    // the worker on which it last failed
}

// startable reports whether nothing of the task runs and it may start at now.
func (t *task) startable(now time.Time) bool {
	return !t.done && t.run == nil && !now.Before(t.notBefore)
}

// atWork reports whether the task is known to run at its full speed.
func (t *task) atWork() bool {
	return t.run != nil && t.run.phase == running && !t.run.wantStop && t.run.percent >= fullPercent && t.run.worker.reachable
}

// fullPercent is the share of its speed at which a task is at work.
const fullPercent = 100
