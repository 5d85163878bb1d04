package placement

import "persimmonbay/internal/fleet"

// preemptFor preempts tasks of a lower rank for j on the worker where that
// takes the fewest preemptions, and returns that worker, or nil when j fits on
// none.
func (p *planner) preemptFor(j *Job, size fleet.Resources, rank rank) *capacity {
	var best *capacity
	var fewest []occupant
	for i := range p.capacities {
		c := &p.capacities[i]
		if !c.acceptsTasks || !size.Within(c.worker.Size) || j.failedOn(c.worker.ID) {
			continue
		}
		victims, enough := p.victims(c, size, rank)
		if enough && (best == nil || cheaper(victims, fewest)) {
			best, fewest = c, victims
		}
	}
	for _, o := range fewest {
		p.preempt(best, o, "preempted for job "+j.ID)
	}
	return best
}

// victims returns the tasks of a lower rank to preempt on c so that size fits,
// and whether preempting them is sufficient.
func (p *planner) victims(c *capacity, size fleet.Resources, rank rank) ([]occupant, bool) {
	var victims []occupant
	projected := c.projected
	for _, o := range c.occupants {
		if o.rank >= rank || size.Within(projected) {
			break
		}
		gain, _ := o.preemptionGain()
		if p.preempted[o.job.ID] || !contributes(gain, size.Minus(projected)) {
			continue
		}
		victims = append(victims, o)
		projected = projected.Plus(gain)
	}
	return victims, size.Within(projected)
}

// contributes reports whether gain includes a resource that is lacking.
func contributes(gain, lacking fleet.Resources) bool {
	return gain.MilliCores > 0 && lacking.MilliCores > 0 || gain.MemoryMB > 0 && lacking.MemoryMB > 0 || gain.Accelerators > 0 && lacking.Accelerators > 0
}

// cheaper reports whether preempting a is better than preempting b: fewer tasks,
// or as many with a lower highest rank.
func cheaper(a, b []occupant) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return len(a) > 0 && a[len(a)-1].rank < b[len(b)-1].rank
}
