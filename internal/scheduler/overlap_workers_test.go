package scheduler_test

import (
	"fmt"
	"time"

	"persimmonbay/internal/scheduler"
)

// bear starts a worker on a machine, and has it registered after a delay.
func (s *overlapSim) bear(m *overlapMachine, id string, registered time.Duration) {
	m.incarnations++
	l := &overlapIncarnation{name: fmt.Sprintf("%s/%s#%d", m.name, id, m.incarnations), machine: m}
	l.simWorker = newSimWorker(m.facts(id, s.now), s.now, s.failures, func(row scheduler.EndReport) { s.noted(l, row) })
	m.incarnation = l
	s.note("", scheduler.TaskID{}, l.name, "%s is born", l.name)
	s.after(registered, func() {
		if !l.dead {
			s.list(id, l.facts, true)
		}
	})
}

// list changes the platform's list, and tells the owners: each later, in order.
func (s *overlapSim) list(id string, f scheduler.WorkerInfo, there bool) {
	s.listRev++
	revision := s.listRev
	if _, known := s.store.workers[id]; !there && !known {
		return
	}
	delete(s.store.workers, id)
	if there {
		s.store.workers[id] = f
	}
	for _, o := range s.owners {
		delay := s.between(1, 120)
		if s.knobs.Rebirth && !s.calm {
			delay = s.between(0, 1500)
		}
		o.listAt = scheduler.Later(o.listAt, s.now.Add(delay))
		s.after(o.listAt.Sub(s.now), func() { o.listChanged(id, f, there, revision) })
	}
}

// die ends an incarnation at once, with all that runs there.
func (s *overlapSim) die(l *overlapIncarnation) {
	s.pass()
	l.dead = true
	l.machine.incarnation = nil
	s.note("", scheduler.TaskID{}, l.name, "%s dies with %v", l.name, l.simWorker.running)
}

// disturb cuts a worker off, ends it, or has it start again.
func (s *overlapSim) disturb() {
	if s.calm {
		return
	}
	s.after(s.between(200, 1500), s.disturb)
	m := s.machines[s.random.Intn(len(s.machines))]
	l := m.incarnation
	switch {
	case l == nil:
	case s.chance(30):
		d := s.between(50, 9000)
		if s.chance(50) {
			d = s.between(50, 1500)
		}
		s.cutOff(m, d)
	case s.knobs.Rebirth && s.chance(50):
		s.die(l)
		s.after(s.between(1, 400), func() { s.bear(m, l.facts.ID, s.between(0, 1500)) })
	case s.chance(25) || s.knobs.StaleList && s.chance(60):
		s.die(l)
		gone := s.between(1, 2000)
		s.after(gone, func() { s.bear(m, fmt.Sprintf("%s-%d", m.name, m.incarnations), s.between(1, 300)) })
		if s.knobs.StaleList {
			s.after(gone+s.between(50, 600), func() { s.cutOff(m, s.between(50, 2500)) })
		}
		s.after(s.between(1000, 4000), func() { s.list(l.facts.ID, l.facts, false) })
	}
}

func (s *overlapSim) cutOff(m *overlapMachine, d time.Duration) {
	if m.incarnation != nil && !s.calm {
		m.cut = s.now.Add(d)
		s.note("", scheduler.TaskID{}, m.incarnation.name, "%s is cut off for %v", m.incarnation.name, d)
	}
}

// pass ends what is over by now on all workers.
func (s *overlapSim) pass() {
	for _, m := range s.machines {
		if l := m.incarnation; l != nil {
			l.pass(s.now)
			s.record(l)
		}
	}
}

// record takes in the ends of an incarnation that are new, and has the polls answered
// that wait for them.
func (s *overlapSim) record(l *overlapIncarnation) {
	for _, row := range l.simWorker.ends {
		if row.Number <= l.seen {
			continue
		}
		l.seen = row.Number
		s.ends[row.Task] = append(s.ends[row.Task], &overlapEnd{incarnation: l.name, row: row, at: s.now})
		s.note(row.Task.Job, row.Task, l.name, "%s ends %v attempt %d as number %d: %s", l.name, row.Task, row.Attempt, row.Number, row.Kind)
		for _, answer := range l.waiting {
			s.after(0, answer)
		}
		l.waiting = nil
	}
	if !l.lapsed {
		return
	}
	for _, row := range l.simWorker.ends {
		if e := s.end(l, row); !e.noted {
			e.lapsed = true
		}
	}
}

func (s *overlapSim) end(l *overlapIncarnation, row scheduler.EndReport) *overlapEnd {
	for _, e := range s.ends[row.Task] {
		if e.incarnation == l.name && e.row.Number == row.Number {
			return e
		}
	}
	panic("an end that was not recorded")
}

// awaitEnd answers a poll at once if there are ends or no wait, else at an end.
func (s *overlapSim) awaitEnd(l *overlapIncarnation, wait time.Duration, answer func()) {
	if wait == 0 || len(l.simWorker.ends) > 0 {
		answer()
		return
	}
	over := false
	once := func() {
		if !over && !l.dead {
			over = true
			s.pass()
			answer()
		}
	}
	l.waiting = append(l.waiting, once)
	s.after(wait, once)
}

// startAt has a worker carry out a start.
func (s *overlapSim) startAt(l *overlapIncarnation, o scheduler.StartOrder) (scheduler.OrderResult, int64) {
	if l.facts.ID != o.Worker {
		return scheduler.OtherIncarnation, 0
	}
	before := l.simWorker.running[o.Task].attempt
	o.Deadline = l.capped(o.Deadline, s.now)
	answer := l.start(o, s.now, s.random)
	s.note(o.Task.Job, o.Task, l.name, "%s takes start of %v attempt %d of owner %d: %s", l.name, o.Task, o.Attempt, o.Token, answer)
	if answer != scheduler.Fenced && answer != scheduler.TooLate {
		l.token = max(l.token, o.Token)
		l.extend(o.Deadline)
		s.timers(l)
	}
	if answer == scheduler.Accepted && before != o.Attempt {
		s.checkStart(l, o, before)
	}
	return answer, l.clock(s.now)
}

// timers has ends and the end of the lease happen at their time.
func (s *overlapSim) timers(l *overlapIncarnation) {
	s.after(l.lease.Sub(s.now), s.pass)
	for _, id := range sortedTasks(l.simWorker.running) {
		s.after(l.simWorker.running[id].ends.Sub(s.now), s.pass)
	}
}

func (s *overlapSim) stopAt(l *overlapIncarnation, o scheduler.StopOrder) scheduler.OrderResult {
	if l.facts.ID != o.Worker {
		return scheduler.OtherIncarnation
	}
	answer := l.stop(o, s.now)
	s.note(o.Task.Job, o.Task, l.name, "%s takes stop of %v attempt %d of owner %d: %s", l.name, o.Task, o.Attempt, o.Token, answer)
	s.record(l)
	return answer
}

// poll has a worker take in a poll; the answer follows.
func (s *overlapSim) poll(l *overlapIncarnation, r scheduler.PollRequest) scheduler.OrderResult {
	if l.facts.ID != r.Worker {
		return scheduler.OtherIncarnation
	}
	first := l.token < r.Token
	if r.Deadline > 0 {
		r.Deadline = l.capped(r.Deadline, s.now)
	}
	_, answer := l.poll(r, s.now, s.now)
	if answer == scheduler.Accepted {
		if first {
			s.note("", scheduler.TaskID{}, l.name, "%s is fenced by owner %d", l.name, r.Token)
		}
		s.timers(l)
	}
	return answer
}
