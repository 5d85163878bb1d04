package placement

import (
	"sort"
	"time"

	"persimmonbay/internal/fleet"
)

// Plan returns the next steps that follow from s.
func Plan(s *Snapshot, policy Policy) Decisions {
	p := &planner{s: s, policy: policy, searches: policy.MaxSearches,
		byID: make(map[string]*room, len(s.Workers)), used: make(map[string]fleet.Resources), yielded: make(map[string]fleet.Resources), preempted: make(map[string]bool)}
	p.kinds = learn(s, policy)
	p.bad, p.proven = quarantined(s, policy, p.kinds)
	p.open()
	p.occupy()
	p.relieve()
	p.place()
	p.restore()
	return p.decisions
}

// open notes the room of each worker.
func (p *planner) open() {
	p.rooms = make([]room, len(p.s.Workers))
	for i := range p.s.Workers {
		w := &p.s.Workers[i]
		p.rooms[i] = room{worker: w, takes: w.takes() && !p.bad[w.ID], free: w.Size, coming: w.Size}
		p.byID[w.ID] = &p.rooms[i]
		p.largest = p.largest.Max(w.Size)
		if p.bad[w.ID] {
			p.decisions.Quarantined = append(p.decisions.Quarantined, w.ID)
		}
	}
}

// occupy takes off what the placed jobs use, and notes those whose worker is
// gone for long.
func (p *planner) occupy() {
	for i := range p.s.Jobs {
		j := &p.s.Jobs[i]
		if !j.Phase.Placed() {
			continue
		}
		r, listed := p.byID[j.Attempt.Worker]
		silent := p.s.Usage[j.Attempt.Task].SilentFor
		if silent > p.policy.LostAfter || !listed && p.unheard(j) > p.policy.LostAfter {
			p.decisions.Lost = append(p.decisions.Lost, j.ID)
		}
		if listed && silent > p.policy.SilentAfter {
			r.takes = false
		}
		p.occupyBy(j, r)
	}
	for i := range p.rooms {
		occupied := p.rooms[i].occupied
		sort.Slice(occupied, func(a, b int) bool { return occupied[a].before(occupied[b]) })
	}
}

// occupyBy takes off what j uses from its team's quota and from r, which is nil
// when its worker is not listed. A throttled task takes up all it had until it
// is reported to use less.
func (p *planner) occupyBy(j *Job, r *room) {
	whole := p.placedSize(j)
	now, then := whole, whole
	if j.Throttled {
		then = throttled(whole)
		if p.s.Usage[j.Attempt.Task].Throttled {
			now = then
		}
	}
	p.used[j.Team] = p.used[j.Team].Plus(now)
	if j.Phase == Leaving || j.Phase == Cancelling {
		p.yielded[j.Team] = p.yielded[j.Team].Plus(now)
	}
	if r == nil {
		return
	}
	r.free = r.free.Minus(now)
	if j.Phase == Starting || j.Phase == Running {
		r.coming = r.coming.Minus(then)
		r.occupied = append(r.occupied, occupant{job: j, whole: whole, size: then, rank: p.rankOf(j)})
	}
}

// unheard returns for how long nothing was told of the job's task.
func (p *planner) unheard(j *Job) time.Duration {
	heard := p.s.Usage[j.Attempt.Task].ReportedAt
	if heard.Before(p.s.Started) {
		heard = p.s.Started
	}
	if heard.Before(j.Attempt.Since) {
		heard = j.Attempt.Since
	}
	return p.s.Now.Sub(heard)
}

// restore gives throttled tasks their processors back where there is room.
func (p *planner) restore() {
	for i := range p.rooms {
		r := &p.rooms[i]
		for _, o := range r.occupied {
			if !o.job.Throttled || p.preempted[o.job.ID] {
				continue
			}
			more := fleet.Resources{MilliCores: o.whole.MilliCores - o.size.MilliCores}
			if r.fits(more) {
				r.take(more)
				p.decisions.Restored = append(p.decisions.Restored, o.job.ID)
			}
		}
	}
}
