package scheduler

import "time"

// stage is one step of one occurrence. The pool's lock guards it.
type stage struct {
	job        *job
	step       *Step
	index      int
	occurrence int
	tasks      []*task
	left       int           // tasks that have not ended done
	longest    time.Duration // that one of its tasks took
	tickets    tickets
}

// runsOn returns how many tasks of the stage run, or may run, on w.
func (s *stage) runsOn(w *worker) int {
	n := 0
	for _, t := range s.tasks {
		if t.run != nil && t.run.worker == w {
			n++
		}
	}
	return n
}

// away returns how many of the stage's tasks, but for except, are not at work.
func (s *stage) away(except *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != except && !t.atWork() {
			n++
		}
	}
	return n
}
