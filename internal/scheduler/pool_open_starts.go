package scheduler

import (
	"cmp"
	"slices"
	"time"

	"persimmonbay/internal/quota"
)

// keepOpenStarts records the copies of a run's start that may still be carried out, as the
// run is released.
func (p *Pool) keepOpenStarts(r *run) {
	until := r.openUntil
	if r.copyOpen {
		until = Later(until, p.copyOpenUntil(r))
	}
	if until.IsZero() || r.worker.replaced {
		return
	}
	if r.token == p.callToken(r.worker) {
		r.worker.raiseToken()
	}
	s := openStart{worker: r.worker.info.ID, machine: r.worker.info.Machine, sentAt: r.sentAt(), token: r.token, until: until, charge: r.charge}
	if !r.ran {
		s.attempt = r.attempt
	}
	p.openStarts.add(r.id, s)
	p.quota.ChargeOpen(s.worker, s.charge)
	r.worker.openStart(until)
}

// copyOpenUntil returns until when the last copy of a run's start may be carried out. It was
// sent at the latest when its time for an answer had passed; StartAnswered sees to one that
// is still to be sent as its run is released.
func (p *Pool) copyOpenUntil(r *run) time.Time {
	return Later(r.sentAt(), r.unansweredAt).Add(p.timing.LateCalls)
}

// openStart records until when an open start may be carried out by a later incarnation. An
// acknowledgement that is late as well would drop the end of that run before any owner has
// read it, so the ends that are listed now wait, each of them once.
func (w *worker) openStart(until time.Time) {
	w.openStartUntil = Later(w.openStartUntil, until)
	w.hold(w.appliedEnds, until)
}

// hold keeps the ends up to the given number that were not held before from being
// acknowledged until the given time.
func (w *worker) hold(upTo int64, until time.Time) {
	first := max(w.heldUpTo, w.ackedEnds) + 1
	if upTo >= first {
		w.heldEnds = append(w.heldEnds, heldEnd{number: first, until: until})
		w.heldUpTo = upTo
	}
}

// holdEnd keeps an end that was just applied from being acknowledged while its task may
// start once more, or an open start may be carried out on its worker.
func (p *Pool) holdEnd(w *worker, e *EndReport, now time.Time) {
	until := p.mayStartLateUntil(e.Task)
	if now.Before(w.openStartUntil) {
		until = Later(until, w.openStartUntil)
	}
	if latest := now.Add(p.timing.LateCalls); until.After(latest) {
		until = latest // one of a former owner, whose time is not known exactly
	}
	if now.Before(until) {
		w.hold(e.Number, until)
	}
}

// mayStartLateUntil returns until when a copy of a start of the task may be carried out
// beside the runs that are known; zero: there is none. One end of a gang represents all of
// its members, so their starts count as well.
func (p *Pool) mayStartLateUntil(id TaskID) time.Time {
	until := p.openStarts.until(id)
	j := p.jobs[id.Job]
	if j == nil {
		return until
	}
	t := p.taskOf(j, id)
	if t == nil {
		return until
	}
	members := []*task{t}
	if t.stage.step.Gang {
		members = t.stage.tasks
	}
	for _, m := range members {
		until = Later(until, p.openStarts.until(m.id))
		if m.run == nil {
			continue
		}
		until = Later(until, m.run.openUntil)
		if m.run.copyOpen {
			until = Later(until, p.copyOpenUntil(m.run))
		}
	}
	return until
}

// closeOpenStarts removes the open starts that can't be carried out any more and have left
// no run that is not known: their worker has replied since, or the leases of such a run have
// expired.
func (p *Pool) closeOpenStarts(now time.Time, plan *Plan) {
	p.openStarts.closeOver(func(s *openStart) bool {
		if !now.After(s.until) {
			plan.wakeAt(s.until)
			return false
		}
		if w := p.workers[s.worker]; w != nil && w.endsKnown && w.reachable && w.pollSentAt.After(s.until) {
			return true
		}
		expired := Later(Later(s.until, s.leaseUntil), p.lateLeaseUntil(p.workers[s.worker])).Add(p.timing.longest())
		plan.wakeAt(expired)
		return now.After(expired)
	}, p.releaseOpenStart)
}

// hasLostOpenStarts reports whether there are open starts at workers that the pool does not
// have or that do not answer. The platform's list of machines can show that they are over.
func (p *Pool) hasLostOpenStarts() bool {
	for _, list := range p.openStarts {
		for i := range list {
			if w := p.workers[list[i].worker]; w == nil || w.silent {
				return true
			}
		}
	}
	return false
}

// SetReassignedMachines applies which machines run no worker of the pool any more, as the
// platform listed them on a request at requestedAt: they are in another pool, or on the way to
// another worker. The workers that ran there do not come back.
func (p *Pool) SetReassignedMachines(machines map[string]bool, requestedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOpenStartsOn(requestedAt, func(s *openStart) bool { return machines[s.machine] })
}

// closeOpenStartsOn removes the open starts whose workers have left their machines for good,
// as a list of machines shows that was requested at requestedAt.
func (p *Pool) closeOpenStartsOn(requestedAt time.Time, left func(s *openStart) bool) {
	p.openStarts.closeOver(func(s *openStart) bool {
		if w := p.workers[s.worker]; w != nil && (!w.silent || !w.listedAt.Before(requestedAt) || !w.clock.readAt.Before(requestedAt)) {
			return false
		}
		return s.machine != "" && s.sentAt.Before(requestedAt) && left(s)
	}, p.releaseOpenStart)
}

// lateLeaseUntil returns until when a late poll may extend leases at the worker; nil: none
// is known.
func (p *Pool) lateLeaseUntil(w *worker) time.Time {
	if w == nil || w.leaseSentAt.IsZero() {
		return time.Time{}
	}
	return w.leaseSentAt.Add(p.timing.LateCalls)
}

// pollForOpenStarts has idle workers polled now and then while an open start may be carried
// out there, as the platform may list a restart late.
func (p *Pool) pollForOpenStarts(now time.Time, plan *Plan) {
	for id, w := range p.workers {
		if !w.fenced || !w.reachable || w.lost || len(w.runs) > 0 || !w.pollAnsweredAt.Before(w.openStartUntil) {
			continue
		}
		next := w.pollAnsweredAt.Add(openStartPollInterval)
		if now.Before(next) {
			plan.wakeAt(next)
			continue
		}
		w.pollWanted = true
		plan.Polls = append(plan.Polls, id)
	}
	slices.Sort(plan.Polls)
}

// openStartPollInterval is short compared with the time in which a run that nobody asked for
// has to be gone.
const openStartPollInterval = time.Second

// inheritOpenStarts takes over what the former owner's roster says of its open starts. When
// it was saved is not known.
func (p *Pool) inheritOpenStarts(starts []RosterStart, now time.Time) {
	for _, s := range starts {
		left := min(max(s.Left, -p.timing.longest()), p.timing.LateCalls+rosterStartStep)
		open := openStart{worker: s.Worker, machine: s.Machine, sentAt: now, token: p.token<<TokenStepBits - 1, until: now.Add(left)}
		if s.Charge != nil {
			open.charge = *s.Charge
			p.quota.ChargeOpen(open.worker, open.charge)
		}
		p.openStarts.add(s.Task, open)
	}
}

// rosterStarts returns the open starts for the next owner, as of now.
func (p *Pool) rosterStarts(now time.Time) []RosterStart {
	var starts []RosterStart
	add := func(worker, machine string, id TaskID, until time.Time, c quota.Charge) {
		var charge *quota.Charge
		if c.Team != "" {
			charge = &c
		}
		if left := until.Sub(now); left > -p.timing.longest() {
			starts = append(starts, RosterStart{Worker: worker, Machine: machine, Task: id, Charge: charge, Left: left.Truncate(rosterStartStep) + rosterStartStep})
		}
	}
	for id, list := range p.openStarts {
		for i := range list {
			add(list[i].worker, list[i].machine, id, list[i].until, list[i].charge)
		}
	}
	for _, w := range p.workers {
		for _, r := range w.runs {
			until := r.openUntil
			if r.copyOpen && r.phase == startUnknown {
				until = Later(until, p.copyOpenUntil(r))
			}
			if now.Before(until) {
				add(w.info.ID, w.info.Machine, r.id, until, r.charge)
			}
		}
	}
	slices.SortFunc(starts, func(a, b RosterStart) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), a.Task.compare(b.Task), cmp.Compare(b.Left, a.Left))
	})
	return slices.CompactFunc(starts, func(a, b RosterStart) bool { return a.Worker == b.Worker && a.Task == b.Task })
}

// rosterStartStep rounds the times of open starts in the roster, which is saved again
// whenever it has changed. Owners that follow each other add up to one step each.
const rosterStartStep = 500 * time.Millisecond

// ackable returns up to which number ends may be acknowledged at now.
func (w *worker) ackable(now time.Time) int64 {
	w.heldEnds = slices.DeleteFunc(w.heldEnds, func(h heldEnd) bool { return !now.Before(h.until) })
	if len(w.heldEnds) == 0 {
		return w.ackableEnds
	}
	return min(w.ackableEnds, w.heldEnds[0].number-1)
}
