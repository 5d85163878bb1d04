package placement

import "persimmonbay/internal/fleet"

// acceleratorPenalty puts workers whose accelerators a job would leave idle
// behind all others, in shares of a worker.
const acceleratorPenalty = 10

// choose returns the worker that gets j, or nil when none has room now.
func (p *planner) choose(j *Job, size fleet.Resources) *room {
	var best *room
	least := 0.0
	for i := range p.rooms {
		r := &p.rooms[i]
		if !r.takes || !r.fits(size) || j.failedOn(r.worker.ID) {
			continue
		}
		if p.policy.Fit == FirstFit {
			return r
		}
		if left := p.leftover(r, size); best == nil || left < least {
			best, least = r, left
		}
	}
	return best
}

// leftover is how much of r stays free beside size, in shares of the worker.
func (p *planner) leftover(r *room, size fleet.Resources) float64 {
	left, whole := r.free.Minus(size), r.worker.Size
	sum := float64(left.MilliCores)/float64(max(whole.MilliCores, 1)) + float64(left.MemoryMB)/float64(max(whole.MemoryMB, 1))
	if p.policy.Fit == KeepAccelerators && size.Accelerators == 0 && left.Accelerators > 0 {
		return sum + acceleratorPenalty
	}
	if whole.Accelerators > 0 {
		sum += float64(left.Accelerators) / float64(whole.Accelerators)
	}
	return sum
}
