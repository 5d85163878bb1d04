package placement

import "persimmonbay/internal/fleet"

// makeRoom takes room for j from tasks of a lower rank on the worker where
// that costs the fewest tasks, and returns it, or nil when there is none.
func (p *planner) makeRoom(j *Job, size fleet.Resources, rank rank) *room {
	var best *room
	var fewest []occupant
	for i := range p.rooms {
		r := &p.rooms[i]
		if !r.takes || !size.Within(r.worker.Size) || j.failedOn(r.worker.ID) {
			continue
		}
		victims, enough := p.victims(r, size, rank)
		if enough && (best == nil || cheaper(victims, fewest)) {
			best, fewest = r, victims
		}
	}
	for _, o := range fewest {
		p.preempt(best, o, "makes room for "+j.ID)
	}
	return best
}

// victims returns the tasks of a lower rank that must give room for size.
func (p *planner) victims(r *room, size fleet.Resources, rank rank) ([]occupant, bool) {
	var victims []occupant
	coming := r.coming
	for _, o := range r.occupied {
		if o.rank >= rank || size.Within(coming) {
			break
		}
		gain, _ := o.yields()
		if p.preempted[o.job.ID] || !helps(gain, size.Minus(coming)) {
			continue
		}
		victims = append(victims, o)
		coming = coming.Plus(gain)
	}
	return victims, size.Within(coming)
}

// helps reports whether gain has something of what is lacking.
func helps(gain, lacking fleet.Resources) bool {
	return gain.MilliCores > 0 && lacking.MilliCores > 0 || gain.MemoryMB > 0 && lacking.MemoryMB > 0 || gain.Accelerators > 0 && lacking.Accelerators > 0
}

// cheaper reports whether it costs less to take room from a than from b.
func cheaper(a, b []occupant) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return len(a) > 0 && a[len(a)-1].rank < b[len(b)-1].rank
}
