package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// keepOpenStarts records the copies of a run's start that may still be carried out, as the
// run is released.
func (p *Pool) keepOpenStarts(r *run) {
	until := r.openUntil
	if r.copyOpen {
		until = Later(until, p.copyOpenUntil(r))
	}
	if until.IsZero() {
		return
	}
	if r.token == p.callToken(r.worker) {
		r.worker.raiseToken()
	}
	p.openStarts.add(r.id, openStart{worker: r.worker.info.ID, token: r.token, until: until})
	r.worker.openStartUntil = Later(r.worker.openStartUntil, until)
}

// copyOpenUntil returns until when the last copy of a run's start may be carried out.
func (p *Pool) copyOpenUntil(r *run) time.Time { return r.sentAt().Add(p.timing.LateCalls) }

// mayStartLateUntil returns until when a copy of a start of the task may be carried out
// beside the runs that are known; zero: there is none.
func (p *Pool) mayStartLateUntil(id TaskID) time.Time {
	until := p.openStarts.until(id)
	if j := p.jobs[id.Job]; j != nil {
		if t := p.taskOf(j, id); t != nil && t.run != nil {
			until = Later(until, t.run.openUntil)
			if t.run.copyOpen {
				until = Later(until, p.copyOpenUntil(t.run))
			}
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
		expired := Later(s.until, p.lateLeaseUntil(s.worker)).Add(p.timing.longest())
		plan.wakeAt(expired)
		return now.After(expired)
	})
}

// lateLeaseUntil returns until when a late call with a deadline may extend leases at the
// worker.
func (p *Pool) lateLeaseUntil(worker string) time.Time {
	w := p.workers[worker]
	if w == nil || w.leaseSentAt.IsZero() {
		return time.Time{}
	}
	return w.leaseSentAt.Add(p.timing.LateCalls)
}

// inheritOpenStarts takes over what the former owner's roster says of its open starts. When
// it was saved is not known.
func (p *Pool) inheritOpenStarts(starts []RosterStart, now time.Time) {
	for _, s := range starts {
		left := min(max(s.Left, 0), p.timing.LateCalls+rosterStartStep)
		p.openStarts.add(s.Task, openStart{worker: s.Worker, token: p.token<<TokenStepBits - 1, until: now.Add(left)})
	}
}

// rosterStarts returns the open starts for the next owner, as of now.
func (p *Pool) rosterStarts(now time.Time) []RosterStart {
	var starts []RosterStart
	add := func(worker string, id TaskID, until time.Time) {
		if left := until.Sub(now); left > 0 {
			left = (left + rosterStartStep - 1).Truncate(rosterStartStep)
			starts = append(starts, RosterStart{Worker: worker, Task: id, Left: left})
		}
	}
	for id, list := range p.openStarts {
		for i := range list {
			add(list[i].worker, id, list[i].until)
		}
	}
	for _, w := range p.workers {
		for _, r := range w.runs {
			until := r.openUntil
			if r.copyOpen && r.phase == startUnknown {
				until = Later(until, p.copyOpenUntil(r))
			}
			add(w.info.ID, r.id, until)
		}
	}
	slices.SortFunc(starts, func(a, b RosterStart) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), a.Task.compare(b.Task), cmp.Compare(b.Left, a.Left))
	})
	return slices.CompactFunc(starts, func(a, b RosterStart) bool { return a.Worker == b.Worker && a.Task == b.Task })
}

// rosterStartStep rounds the times of open starts in the roster, which is saved again
// whenever it has changed.
const rosterStartStep = 2 * time.Second

// holdEnd keeps an end from being acknowledged while its task may start once more.
func (p *Pool) holdEnd(w *worker, e *EndReport, now time.Time) {
	if until := p.mayStartLateUntil(e.Task); now.Before(until) {
		w.heldEnds = append(w.heldEnds, heldEnd{number: e.Number, until: until})
	}
}

// ackable returns up to which number ends may be acknowledged at now. While a later
// incarnation may carry out a start none is: an acknowledgement that is late as well would
// drop the end of that run before any owner has read it.
func (w *worker) ackable(now time.Time) int64 {
	if now.Before(w.openStartUntil) {
		return w.ackedEnds
	}
	w.openStartUntil = time.Time{}
	w.heldEnds = slices.DeleteFunc(w.heldEnds, func(h heldEnd) bool { return !now.Before(h.until) })
	if len(w.heldEnds) == 0 {
		return w.ackableEnds
	}
	return min(w.ackableEnds, w.heldEnds[0].number-1)
}
