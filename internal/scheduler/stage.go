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
	taskWork    float64   // expected work of a task when it first waited, in machine-seconds; 0: it has not waited
	noRoomSince time.Time // since when one of its tasks has had no room and none has started; zero: all had room
	atCapSince  time.Time // since when its tasks have waited for room of their team; zero: they do not
}

// tasksOwedRoom returns for how many of the waiting tasks the pool changes what it offers
// and asks for. A job that ends too late to be of use gets room to go on, for one task or
// one gang at a time.
func (s *stage) tasksOwedRoom(now time.Time) int {
	n := s.waitingTasks(now)
	switch {
	case s.job.rank.class < veryLateClass:
		return n
	case s.job.activeRuns > 0:
		return 0
	case s.step.Gang:
		return n
	}
	return min(n, 1)
}

// firstWaiting returns the first task that may start at now, or nil if none may.
func (s *stage) firstWaiting(now time.Time) *task {
	for _, t := range s.tasks {
		if t.startable(now) {
			return t
		}
	}
	return nil
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

// stopPending reports whether a task of the stage, except the given one, is being stopped
// on a worker that does not drain.
func (s *stage) stopPending(except *task) bool {
	for _, t := range s.tasks {
		if t != except && t.run != nil && t.run.wantStop && !t.run.worker.info.Draining {
			return true
		}
	}
	return false
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
