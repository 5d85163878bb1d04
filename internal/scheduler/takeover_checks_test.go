package scheduler_test

import (
	"fmt"

	"persimmonbay/internal/scheduler"
)

// violated records the first violation of a rule.
func (s *takeOverSim) violated(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%7.3f ", s.elapsed().Seconds()) + fmt.Sprintf(format, args...)
	}
}

// checkStart checks that a task runs nowhere else when it starts.
func (s *takeOverSim) checkStart(at *takeOverWorker, o *scheduler.StartOrder) {
	for _, w := range s.workers {
		if r := w.runs[o.Task]; r != nil {
			s.violated("TWICE: %v attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, at.info.ID, r.attempt, w.info.ID)
		}
	}
	if _, done := s.done[o.Task]; done {
		s.restarted[o.Task] = true
	}
}

// checkAcked checks that a task whose end as done is acknowledged has not started again.
func (s *takeOverSim) checkAcked(e *scheduler.EndReport) {
	if e.Kind == scheduler.EndDone && s.restarted[e.Task] {
		s.violated("TWICE: %v started again after attempt %d was done", e.Task, e.Attempt)
	}
}

// checkFirst checks when an owner's first tasks start, and that long-running tasks that
// wait come before all others.
func (s *takeOverSim) checkFirst(o *takeOverOwner, starts []scheduler.StartOrder) {
	if len(s.owners) == 1 || o != s.present() {
		return
	}
	if took := s.now.Sub(s.lostAt); took > timing.FormerOwnerLease+takeOverStartBound {
		s.violated("LOST: the first task starts %v after the former owner lost the pool", took)
	}
	other := ""
	for i := range starts {
		if starts[i].Task.Job[0] != longRunningPrefix {
			other = starts[i].Task.Job
		} else if other != "" {
			s.violated("LOST: %s starts before the long-running %s", other, starts[i].Task.Job)
		}
	}
	waiting := s.store.byID[fmt.Sprintf("L-waiting-%d", len(s.owners)-1)]
	if starts[0].Task.Job[0] != longRunningPrefix {
		s.violated("LOST: %s starts first, while the long-running %s waits", starts[0].Task.Job, waiting.sub.ID)
	}
}

// checkCalls checks how often each owner has called the store, for all jobs and for each.
func (s *takeOverSim) checkCalls() {
	for i, o := range s.owners {
		if bound := maxCallsPerJob * len(s.store.jobs); o.calls > bound {
			s.violated("owner %d called the store %d times for %d jobs", i, o.calls, len(s.store.jobs))
		}
		bound := takeOverSaves + int(o.activeAt.Sub(o.acquiredAt)/maxSavePause)
		for job, saves := range o.savesOf {
			if saves > bound {
				s.violated("owner %d saved %s %d times, more than one time in %v", i, job, saves, maxSavePause)
			}
		}
	}
}

// allCompleted reports whether all jobs that end are shown as completed and all
// long-running tasks run.
func (s *takeOverSim) allCompleted() bool {
	running := 0
	for _, w := range s.workers {
		for id := range w.runs {
			if id.Job[0] == longRunningPrefix {
				running++
			}
		}
	}
	longRunning := 0
	for _, j := range s.store.jobs {
		if j.sub.LongRunning() {
			longRunning += j.sub.Steps[0].Count
		} else if j.progress.State != scheduler.Completed {
			return false
		}
	}
	return running == longRunning
}
