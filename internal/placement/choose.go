package placement

import "persimmonbay/internal/fleet"

// acceleratorPenalty is added to the leftover share of a worker whose
// accelerators the job would leave idle. It exceeds every leftover share, so that
// such a worker ranks behind all others.
const acceleratorPenalty = 10

// chooseWorker returns the worker for j under the policy's Fit, or nil when j
// fits no worker now.
func (p *planner) chooseWorker(j *Job, size fleet.Resources) *capacity {
	var best *capacity
	leastLeft := 0.0
	for i := range p.capacities {
		c := &p.capacities[i]
		if !c.acceptsTasks || !c.fits(size) || j.failedOn(c.worker.ID) {
			continue
		}
		if p.policy.Fit == FirstFit {
			return c
		}
		if left := p.leftoverShare(c, size); best == nil || left < leastLeft {
			best, leastLeft = c, left
		}
	}
	return best
}

// leftoverShare returns the capacity of c that size would leave free: the sum
// over its resources of the free share of each. Under KeepAccelerators, a worker
// whose accelerators would stay idle gets acceleratorPenalty instead of the
// accelerators' share.
func (p *planner) leftoverShare(c *capacity, size fleet.Resources) float64 {
	left, total := c.free.Minus(size), c.worker.Size
	sum := float64(left.MilliCores)/float64(max(total.MilliCores, 1)) + float64(left.MemoryMB)/float64(max(total.MemoryMB, 1))
	if p.policy.Fit == KeepAccelerators && size.Accelerators == 0 && left.Accelerators > 0 {
		return sum + acceleratorPenalty
	}
	if total.Accelerators > 0 {
		sum += float64(left.Accelerators) / float64(total.Accelerators)
	}
	return sum
}
