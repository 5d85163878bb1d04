package scheduler_test

import (
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// check holds a start against what must hold.
func (s *sim) check(o scheduler.StartOrder) {
	running, stale := 0, false
	for _, id := range s.order {
		stale = stale || s.workers[id].stale[o.Task]
		if _, ok := s.workers[id].running[o.Task]; ok {
			running++
		}
	}
	Expect(running).To(Equal(1), "%v runs %d times", o.Task, running)
	Expect(s.done[o.Task] && !stale).To(BeFalse(), "%v starts again after its end was kept", o.Task)
	Expect(s.noted[o.Task] && !stale).To(BeFalse(), "%v starts again after its end was noted", o.Task)
	Expect(s.fails[o.Task]).To(BeNumerically("<", s.subs[o.Task.Job].MaxFailures), "%v starts after %d failures", o.Task, s.fails[o.Task])
	Expect(s.failed[o.Task]).To(BeNumerically("<", s.subs[o.Task.Job].MaxFailures), "%v starts again", o.Task)
}

func (s *sim) noteSaved(i scheduler.SaveItem) {
	s.checkFailed(i)
	for n := range s.subs[i.Job].Steps[0].Count {
		id := scheduler.TaskID{Job: i.Job, Index: n}
		s.done[id] = n/8 < len(i.Progress.Done) && i.Progress.Done[n/8]&(1<<(n%8)) != 0
		s.failed[id] = len(i.Progress.Failures[n])
	}
}

// checkFailed demands that a job is only said to have failed when a task has
// failed so often: by ends that were noted, or are still listed.
func (s *sim) checkFailed(i scheduler.SaveItem) {
	if i.Progress.State != scheduler.Failed {
		return
	}
	most := 0
	for n := range s.subs[i.Job].Steps[0].Count {
		most = max(most, s.ended[scheduler.TaskID{Job: i.Job, Index: n}])
	}
	Expect(most).To(BeNumerically(">=", s.subs[i.Job].MaxFailures), "%s is said to have failed", i.Job)
}

// note takes in that a worker may forget an end.
func (s *sim) note(e scheduler.EndReport) {
	switch e.Kind {
	case scheduler.EndDone:
		s.noted[e.Task] = true
	case scheduler.EndFailed:
		s.fails[e.Task]++
	}
}
