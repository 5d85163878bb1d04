package scheduler

import "time"

// stage is one step within one occurrence of a job. The pool's lock guards it.
type stage struct {
	job         *job
	step        *Step
	index       int
	occurrence  int
	tasks       []*task
	incomplete  int           // tasks that are not done
	longestTask time.Duration // the longest time that one of its tasks took
	tickets     tickets
	noRoomSince time.Time // since when one of its tasks has had no room and none has started; zero: all had room
}

// waitingTasks returns the number of tasks that may start at now.
func (s *stage) waitingTasks(now time.Time) int {
	n := 0
	for _, t := range s.tasks {
		if t.startable(now) {
			n++
		}
	}
	return n
}

// runsOn returns the number of the stage's tasks that run, or may run, on w.
func (s *stage) runsOn(w *worker) int {
	n := 0
	for _, t := range s.tasks {
		if t.run != nil && t.run.worker == w {
			n++
		}
	}
	return n
}

// unavailable returns the number of the stage's tasks, except aside, that are not
// known to run at full speed at now.
func (s *stage) unavailable(except *task, now time.Time) int {
	n := 0
	for _, t := range s.tasks {
		if t != except && !t.atFullSpeed(now) {
			n++
		}
	}
	return n
}
