package placement

import "persimmonbay/internal/fleet"

// relieve empties workers that leave, and takes room from the least urgent
// tasks of workers and teams that use more than there is.
func (p *planner) relieve() {
	for i := range p.rooms {
		r := &p.rooms[i]
		for _, o := range r.occupied {
			gain, way := o.yields()
			over := fleet.Resources{}.Minus(r.coming)
			switch {
			case !r.worker.takes() && way == Checkpoint:
				p.preempt(r, o, "moved off "+r.worker.ID+", which is drained")
			case helps(gain, over):
				p.preempt(r, o, r.worker.ID+" has less than its tasks use")
			case helps(gain, p.overQuota(o.job.Team)):
				p.preempt(r, o, "the team uses more than its quota")
			}
		}
	}
}

// overQuota returns what the team uses above its quota; amounts below zero are
// within it.
func (p *planner) overQuota(team string) fleet.Resources {
	return p.used[team].Minus(p.s.Teams[team].Quota).Minus(p.yielded[team])
}

// preempt takes room from o, if it can give any.
func (p *planner) preempt(r *room, o occupant, reason string) {
	gain, way := o.yields()
	if p.preempted[o.job.ID] || gain == (fleet.Resources{}) {
		return
	}
	p.preempted[o.job.ID] = true
	r.coming = r.coming.Plus(gain)
	p.yielded[o.job.Team] = p.yielded[o.job.Team].Plus(gain)
	p.decisions.Preemptions = append(p.decisions.Preemptions, Preemption{Job: o.job.ID, Method: way, Reason: reason})
}
