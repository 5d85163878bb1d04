package scheduler_test

import (
	"slices"
	"strings"

	"persimmonbay/internal/scheduler"
)

// sortedTasks returns the tasks of one worker's runs by job and index.
func sortedTasks(m map[scheduler.TaskID]simRun) []scheduler.TaskID {
	var ids []scheduler.TaskID
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b scheduler.TaskID) int {
		if a.Job != b.Job {
			return strings.Compare(a.Job, b.Job)
		}
		return a.Index - b.Index
	})
	return ids
}

// checkStart checks a start that a worker has carried out against the rules. before is
// the attempt of the task that ran there; 0: none.
func (s *overlapSim) checkStart(inc *overlapIncarnation, o scheduler.StartOrder, before int) {
	for _, m := range s.machines {
		if m.incarnation == nil || m.incarnation == inc {
			continue
		}
		if r, ok := m.incarnation.simWorker.running[o.Task]; ok {
			s.violated(o.Task, "TWICE: %v attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, inc.name, r.attempt, m.incarnation.name)
		}
	}
	if before != 0 {
		s.violated(o.Task, "TWICE: %v attempt %d starts on %s while attempt %d runs there", o.Task, o.Attempt, inc.name, before)
	}
	s.starts[o.Task] = append(s.starts[o.Task], overlapStart{at: s.now, incarnation: inc.name, attempt: o.Attempt, token: o.Token})
	s.checkTask(o.Task)
}

// endAcked records that an end was acknowledged to its worker.
func (s *overlapSim) endAcked(inc *overlapIncarnation, report scheduler.EndReport) {
	s.recordEnds(inc)
	e := s.findEnd(inc, report)
	e.acked = true
	s.log(report.Task.Job, report.Task, inc.name, "%s drops acknowledged end %d of %v attempt %d: %s; lease expired before: %v", inc.name, report.Number, report.Task, report.Attempt, report.Kind, e.expiredUnacked)
	s.checkTask(report.Task)
}

// endsArrived records that the ends in a reply have arrived at the owner, which counts
// like an acknowledgement to their worker. By the platform's rules it does so only with no
// disruption near, and a start of the task that is still on its way is one.
func (s *overlapSim) endsArrived(inc *overlapIncarnation, reports []scheduler.EndReport) {
	s.recordEnds(inc)
	for _, report := range reports {
		if s.now.Before(s.lateStarts[report.Task]) {
			continue
		}
		s.findEnd(inc, report).acked = true
		s.checkTask(report.Task)
	}
}

// checkTask checks that no run of the task started after an end of kind done, or after
// MaxFailures ends of kind failed. Only ends that have been acknowledged by now count,
// and none whose worker's lease expired before the acknowledgement.
func (s *overlapSim) checkTask(id scheduler.TaskID) {
	for _, start := range s.starts[id] {
		failed := 0
		for _, e := range s.ends[id] {
			if !e.acked || e.expiredUnacked || !start.at.After(e.at) {
				continue
			}
			switch e.report.Kind {
			case scheduler.EndDone:
				s.violated(id, "TWICE: %v attempt %d of owner %d starts on %s after attempt %d ended as done on %s, acknowledged", id, start.attempt, start.token, start.incarnation, e.report.Attempt, e.incarnation)
			case scheduler.EndFailed:
				failed++
			}
		}
		if failed >= s.store.jobs[id.Job].sub.MaxFailures {
			s.violated(id, "BUDGET: %v attempt %d of owner %d starts on %s after %d ends as failed, acknowledged", id, start.attempt, start.token, start.incarnation, failed)
		}
	}
}

// checkSaved checks that a job is saved as completed only if each task has ended as
// done, and as failed only if the runs of one task have failed MaxFailures times.
func (s *overlapSim) checkSaved(i scheduler.SaveItem) {
	sub := s.store.jobs[i.Job].sub
	maxFailed := 0
	for n := range sub.Steps[0].Count {
		id := scheduler.TaskID{Job: i.Job, Index: n}
		maxFailed = max(maxFailed, s.failedRuns[id])
		done := slices.ContainsFunc(s.ends[id], func(e *overlapEnd) bool { return e.report.Kind == scheduler.EndDone })
		if i.Progress.State == scheduler.Completed && !done {
			s.violated(id, "MIXED: job %s is saved as completed, but %v has not ended as done", i.Job, id)
		}
	}
	if i.Progress.State == scheduler.Failed && maxFailed < sub.MaxFailures {
		s.violated(scheduler.TaskID{Job: i.Job}, "LOST: job %s is saved as failed after %d failures", i.Job, maxFailed)
	}
}

// checkAllEnded checks that each job has ended.
func (s *overlapSim) checkAllEnded() {
	for _, id := range s.store.jobIDs {
		j := s.store.jobs[id]
		if j.progress.State.Final() {
			continue
		}
		open := scheduler.TaskID{Job: id}
		for n := range j.sub.Steps[0].Count {
			if n/8 >= len(j.progress.Done) || j.progress.Done[n/8]&(1<<(n%8)) == 0 {
				open.Index = n
			}
		}
		s.violated(open, "LOST: job %s has not ended: %v", id, j.progress)
		return
	}
}
