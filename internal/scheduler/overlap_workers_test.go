package scheduler_test

import (
	"fmt"
	"time"

	"persimmonbay/internal/scheduler"
)

// startWorker starts a worker on a machine. The platform lists it after a delay.
func (s *overlapSim) startWorker(m *overlapMachine, id string, registered time.Duration) {
	m.incarnations++
	inc := &overlapIncarnation{name: fmt.Sprintf("%s/%s#%d", m.name, id, m.incarnations), machine: m, maxRunLease: overlapMaxRunLease}
	inc.simWorker = newSimWorker(m.info(id, s.now), s.now, s.failedRuns, func(report scheduler.EndReport) { s.endAcked(inc, report) })
	if s.faults.Recuts {
		inc.maxRunLease, inc.longRuns, inc.clockStart = timing.MaxRunLease, true, s.clockStart(m)
	}
	m.incarnation = inc
	s.log("", scheduler.TaskID{}, inc.name, "%s starts", inc.name)
	s.after(registered, func() {
		if !inc.dead {
			s.updateList(id, inc.info, true)
		}
	})
}

// clockStart returns what the clock of a worker shows that starts on a machine: it starts
// anew, goes on over the restart, or starts above that of the worker before.
func (s *overlapSim) clockStart(m *overlapMachine) int64 {
	goesOn := s.now.Sub(s.trace.startedAt).Milliseconds() + firstClock
	switch {
	case m.incarnations == 1 || s.chance(20):
		return goesOn
	case s.chance(20):
		return goesOn + int64(s.random.Intn(10_000))
	}
	return int64(s.random.Intn(1000))
}

// firstClock is what the clocks of the first workers show at the start, in milliseconds:
// more than a lease, so that a deadline on such a clock is far in the future on a clock
// that has started anew.
const firstClock = 100_000

// updateList changes the platform's list of workers. Each owner receives the change
// later; delays preserve the order of changes.
func (s *overlapSim) updateList(id string, info scheduler.WorkerInfo, present bool) {
	s.listRev++
	revision := s.listRev
	if _, known := s.store.workers[id]; !present && !known {
		return
	}
	delete(s.store.workers, id)
	if present {
		s.store.workers[id] = info
	}
	for _, o := range s.owners {
		delay := s.between(1, 120)
		if s.faults.UnnoticedRestarts && !s.noFaults {
			delay = s.between(0, 1500)
		}
		o.listAt = scheduler.Later(o.listAt, s.now.Add(delay))
		s.after(o.listAt.Sub(s.now), func() { o.listChanged(id, info, present, revision) })
	}
}

// crashWorker ends an incarnation with all its runs.
func (s *overlapSim) crashWorker(inc *overlapIncarnation) {
	s.advanceWorkers()
	inc.dead = true
	inc.machine.incarnation = nil
	s.log("", scheduler.TaskID{}, inc.name, "%s crashes with runs %v", inc.name, inc.simWorker.running)
}

// injectFault cuts a worker off, crashes it, or restarts it.
func (s *overlapSim) injectFault() {
	if s.noFaults {
		return
	}
	s.after(s.between(200, 1500), s.injectFault)
	m := s.machines[s.random.Intn(len(s.machines))]
	inc := m.incarnation
	switch {
	case inc == nil:
	case s.faults.Drains && s.chance(60):
		s.drainWorker(m)
	case s.chance(30):
		d := s.between(50, 9000)
		if s.chance(50) {
			d = s.between(50, 1500)
		}
		s.cutOff(m, d)
	case s.faults.Recuts && s.chance(60):
		s.crashWorker(inc)
		dark := s.between(100, 600)
		s.after(dark, func() { s.startWorker(m, inc.info.ID, s.between(0, 3000)) })
		s.after(dark+s.between(100, 2500), func() { s.cutOff(m, s.between(1000, 9000)) })
	case s.faults.UnnoticedRestarts && s.chance(50):
		s.crashWorker(inc)
		s.after(s.between(1, 400), func() { s.startWorker(m, inc.info.ID, s.between(0, 1500)) })
	case s.chance(25) || s.faults.StaleMachineList && s.chance(60):
		s.crashWorker(inc)
		gone := s.between(1, 2000)
		s.after(gone, func() { s.startWorker(m, fmt.Sprintf("%s-%d", m.name, m.incarnations), s.between(1, 300)) })
		if s.faults.StaleMachineList {
			s.after(gone+s.between(50, 600), func() { s.cutOff(m, s.between(50, 2500)) })
		}
		s.after(s.between(1000, 4000), func() { s.updateList(inc.info.ID, inc.info, false) })
	}
}

// cutOff makes a machine unreachable for d.
func (s *overlapSim) cutOff(m *overlapMachine, d time.Duration) {
	if m.incarnation != nil && !s.noFaults {
		m.cutOffUntil = s.now.Add(d)
		s.log("", scheduler.TaskID{}, m.incarnation.name, "%s is cut off for %v", m.incarnation.name, d)
	}
}

// advanceWorkers ends the runs on all workers that are complete by now or whose lease has expired.
func (s *overlapSim) advanceWorkers() {
	for _, m := range s.machines {
		if inc := m.incarnation; inc != nil {
			inc.advance(s.now)
			s.recordEnds(inc)
		}
	}
}

// recordEnds records the new ends of an incarnation, and has the waiting polls answered.
func (s *overlapSim) recordEnds(inc *overlapIncarnation) {
	for _, report := range inc.simWorker.ends {
		if report.Number <= inc.recordedEnds {
			continue
		}
		inc.recordedEnds = report.Number
		s.ends[report.Task] = append(s.ends[report.Task], &overlapEnd{incarnation: inc.name, report: report, at: s.now})
		s.log(report.Task.Job, report.Task, inc.name, "%s ends %v attempt %d as number %d: %s", inc.name, report.Task, report.Attempt, report.Number, report.Kind)
		for _, answer := range inc.waitingPolls {
			s.after(0, answer)
		}
		inc.waitingPolls = nil
	}
	if !inc.leaseExpired {
		return
	}
	for _, report := range inc.simWorker.ends {
		if e := s.findEnd(inc, report); !e.acked {
			e.expiredUnacked = true
		}
	}
}

func (s *overlapSim) findEnd(inc *overlapIncarnation, report scheduler.EndReport) *overlapEnd {
	for _, e := range s.ends[report.Task] {
		if e.incarnation == inc.name && e.report.Number == report.Number {
			return e
		}
	}
	panic("end was not recorded")
}

// awaitEnd calls answer at once if there are ends or wait is zero, otherwise at the next end
// or after wait.
func (s *overlapSim) awaitEnd(inc *overlapIncarnation, wait time.Duration, answer func()) {
	if wait == 0 || len(inc.simWorker.ends) > 0 {
		answer()
		return
	}
	answered := false
	once := func() {
		if !answered && !inc.dead {
			answered = true
			s.advanceWorkers()
			answer()
		}
	}
	inc.waitingPolls = append(inc.waitingPolls, once)
	s.after(wait, once)
}

// startAt has a worker carry out a start, and returns the result and the worker's clock.
func (s *overlapSim) startAt(inc *overlapIncarnation, o scheduler.StartOrder) (scheduler.OrderResult, int64) {
	if inc.info.ID != o.Worker {
		return scheduler.OtherIncarnation, 0
	}
	before := inc.simWorker.running[o.Task].attempt
	o.Deadline = inc.capDeadline(o.Deadline, s.now)
	result := inc.start(o, s.now, s.random)
	s.log(o.Task.Job, o.Task, inc.name, "%s receives start of %v attempt %d of owner %d: %s", inc.name, o.Task, o.Attempt, o.Token, result)
	if result != scheduler.Fenced && result != scheduler.TooLate {
		inc.token = max(inc.token, o.Token)
		inc.extend(o.Deadline)
		s.scheduleEnds(inc)
	}
	if result == scheduler.Accepted && before != o.Attempt {
		s.checkStart(inc, o, before)
	}
	return result, inc.clock(s.now)
}

// scheduleEnds schedules the ends of the runs and the expiry of the lease.
func (s *overlapSim) scheduleEnds(inc *overlapIncarnation) {
	s.after(inc.lease.Sub(s.now), s.advanceWorkers)
	for _, id := range sortedTasks(inc.simWorker.running) {
		s.after(inc.simWorker.running[id].endsAt.Sub(s.now), s.advanceWorkers)
	}
}

// stopAt has a worker carry out a stop.
func (s *overlapSim) stopAt(inc *overlapIncarnation, o scheduler.StopOrder) scheduler.OrderResult {
	if inc.info.ID != o.Worker {
		return scheduler.OtherIncarnation
	}
	result := inc.stop(o, s.now)
	s.log(o.Task.Job, o.Task, inc.name, "%s receives stop of %v attempt %d of owner %d: %s", inc.name, o.Task, o.Attempt, o.Token, result)
	s.recordEnds(inc)
	return result
}

// poll has a worker apply a poll request. The caller sends the reply.
func (s *overlapSim) poll(inc *overlapIncarnation, r scheduler.PollRequest) scheduler.OrderResult {
	if inc.info.ID != r.Worker {
		return scheduler.OtherIncarnation
	}
	first := inc.token < r.Token
	if r.Deadline > 0 {
		r.Deadline = inc.capDeadline(r.Deadline, s.now)
	}
	_, result := inc.poll(r, s.now, s.now)
	if result == scheduler.Accepted {
		if first {
			s.log("", scheduler.TaskID{}, inc.name, "%s is fenced by owner %d", inc.name, r.Token)
		}
		s.scheduleEnds(inc)
	}
	return result
}
