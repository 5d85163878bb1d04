package scheduler_test

import (
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// checkStart checks that a task which has just started runs nowhere else, has not ended
// as done, and has not used up its failures. It may repeat a done task if a worker's
// lease expired before the end was acknowledged.
func (s *sim) checkStart(o scheduler.StartOrder) {
	running, expiredUnacked := 0, false
	for _, id := range s.workerIDs {
		expiredUnacked = expiredUnacked || s.workers[id].expiredUnacked[o.Task]
		if _, ok := s.workers[id].running[o.Task]; ok {
			running++
		}
	}
	Expect(running).To(Equal(1), "%v has %d runs", o.Task, running)
	Expect(s.savedDone[o.Task] && !expiredUnacked).To(BeFalse(), "%v starts again after its end was saved", o.Task)
	Expect(s.ackedDone[o.Task] && !expiredUnacked).To(BeFalse(), "%v starts again after its end was acknowledged", o.Task)
	Expect(s.ackedFailures[o.Task]).To(BeNumerically("<", s.submissions[o.Task.Job].MaxFailures), "%v starts after %d acknowledged failures", o.Task, s.ackedFailures[o.Task])
	Expect(s.savedFailures[o.Task]).To(BeNumerically("<", s.submissions[o.Task.Job].MaxFailures), "%v starts after too many saved failures", o.Task)
}

// recordSaved records the saved progress of a job.
func (s *sim) recordSaved(i scheduler.SaveItem) {
	s.checkFailed(i)
	for n := range s.submissions[i.Job].Steps[0].Count {
		id := scheduler.TaskID{Job: i.Job, Index: n}
		s.savedDone[id] = n/8 < len(i.Progress.Done) && i.Progress.Done[n/8]&(1<<(n%8)) != 0
		s.savedFailures[id] = len(i.Progress.Failures[n])
	}
}

// checkFailed checks that a job is saved as failed only if the runs of one of its tasks
// have failed MaxFailures times.
func (s *sim) checkFailed(i scheduler.SaveItem) {
	if i.Progress.State != scheduler.Failed {
		return
	}
	most := 0
	for n := range s.submissions[i.Job].Steps[0].Count {
		most = max(most, s.failedRuns[scheduler.TaskID{Job: i.Job, Index: n}])
	}
	Expect(most).To(BeNumerically(">=", s.submissions[i.Job].MaxFailures), "job %s is saved as failed too early", i.Job)
}

// recordAck records that an end was acknowledged to its worker.
func (s *sim) recordAck(e scheduler.EndReport) {
	switch e.Kind {
	case scheduler.EndDone:
		s.ackedDone[e.Task] = true
	case scheduler.EndFailed:
		s.ackedFailures[e.Task]++
	}
}
