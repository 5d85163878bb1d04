package scheduler_test

import (
	"slices"
	"strings"

	"persimmonbay/internal/scheduler"
)

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

// checkStart holds a start that a worker has carried out against the rules.
// before is the attempt that ran there; 0: none.
func (s *overlapSim) checkStart(l *overlapIncarnation, o scheduler.StartOrder, before int) {
	for _, m := range s.machines {
		if m.incarnation == nil || m.incarnation == l {
			continue
		}
		if r, ok := m.incarnation.simWorker.running[o.Task]; ok {
			s.broken(o.Task, "TWICE: %v attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, l.name, r.attempt, m.incarnation.name)
		}
	}
	if before != 0 {
		s.broken(o.Task, "TWICE: %v attempt %d starts on %s while attempt %d runs there", o.Task, o.Attempt, l.name, before)
	}
	s.starts[o.Task] = append(s.starts[o.Task], overlapStart{at: s.now, incarnation: l.name, attempt: o.Attempt, token: o.Token})
	s.checkTask(o.Task)
}

// noted takes in that a worker has forgotten an end.
func (s *overlapSim) noted(l *overlapIncarnation, row scheduler.EndReport) {
	s.record(l)
	e := s.end(l, row)
	e.noted = true
	s.note(row.Task.Job, row.Task, l.name, "%s forgets end %d of %v attempt %d: %s; lapsed %v", l.name, row.Number, row.Task, row.Attempt, row.Kind, e.lapsed)
	s.checkTask(row.Task)
}

// checkTask demands that no start came after an end done that was noted then or
// later, nor after too many noted ends failed.
func (s *overlapSim) checkTask(id scheduler.TaskID) {
	for _, start := range s.starts[id] {
		failed := 0
		for _, e := range s.ends[id] {
			if !e.noted || e.lapsed || !start.at.After(e.at) {
				continue
			}
			switch e.row.Kind {
			case scheduler.EndDone:
				s.broken(id, "TWICE: %v attempt %d of owner %d starts on %s after attempt %d ended done on %s, noted", id, start.attempt, start.token, start.incarnation, e.row.Attempt, e.incarnation)
			case scheduler.EndFailed:
				failed++
			}
		}
		if failed >= s.store.jobs[id.Job].sub.MaxFailures {
			s.broken(id, "BUDGET: %v attempt %d of owner %d starts on %s after %d ends failed, noted", id, start.attempt, start.token, start.incarnation, failed)
		}
	}
}

// checkSaved demands that a job is said to be completed or failed only when its
// tasks have ended so.
func (s *overlapSim) checkSaved(i scheduler.SaveItem) {
	sub := s.store.jobs[i.Job].sub
	most := 0
	for n := range sub.Steps[0].Count {
		id := scheduler.TaskID{Job: i.Job, Index: n}
		most = max(most, s.failures[id])
		done := slices.ContainsFunc(s.ends[id], func(e *overlapEnd) bool { return e.row.Kind == scheduler.EndDone })
		if i.Progress.State == scheduler.Completed && !done {
			s.broken(id, "MIXED: %s is completed, but %v never ended done", i.Job, id)
		}
	}
	if i.Progress.State == scheduler.Failed && most < sub.MaxFailures {
		s.broken(scheduler.TaskID{Job: i.Job}, "LOST: %s has failed after %d failures", i.Job, most)
	}
}

// checkLost demands that each job has come to its end.
func (s *overlapSim) checkLost() {
	for _, id := range s.store.order {
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
		s.broken(open, "LOST: %s never came to its end: %v", id, j.progress)
		return
	}
}
