package placement

import "persimmonbay/internal/fleet"

// reclaim preempts tasks on workers that are draining or down, and the tasks of
// the lowest rank on workers and in teams that use more than the worker's
// capacity or the team's quota.
func (p *planner) reclaim() {
	for i := range p.capacities {
		c := &p.capacities[i]
		for _, o := range c.occupants {
			gain, method := o.preemptionGain()
			over := fleet.Resources{}.Minus(c.projected)
			switch {
			case !c.worker.acceptsTasks() && method == Checkpoint:
				p.preempt(c, o, "moved from "+c.worker.ID+", which is drained")
			case contributes(gain, over):
				p.preempt(c, o, c.worker.ID+" has less capacity than its tasks use")
			case contributes(gain, p.overQuota(o.job.Team)):
				p.preempt(c, o, "the team uses more than its quota")
			}
		}
	}
}

// overQuota returns the team's usage above its quota that pending preemptions do
// not free. Negative amounts are within the quota.
func (p *planner) overQuota(team string) fleet.Resources {
	return p.used[team].Minus(p.snapshot.Teams[team].Quota).Minus(p.released[team])
}

// preempt adds a preemption of o, unless o has one already or would free nothing.
func (p *planner) preempt(c *capacity, o occupant, reason string) {
	gain, method := o.preemptionGain()
	if p.preempted[o.job.ID] || gain == (fleet.Resources{}) {
		return
	}
	p.preempted[o.job.ID] = true
	c.projected = c.projected.Plus(gain)
	p.released[o.job.Team] = p.released[o.job.Team].Plus(gain)
	p.decisions.Preemptions = append(p.decisions.Preemptions, Preemption{Job: o.job.ID, Method: method, Reason: reason})
}
