package scheduler

import "time"

// startCandidates holds the workers on which tasks may start during one plan. In an
// overloaded pool most tasks fit on no worker; maxFree shows that without a check of
// each worker.
type startCandidates struct {
	workers      []*worker
	maxFree      Resources // the largest free amount of each resource on any one of them
	maxFreeStale bool      // maxFree may be too high: a task was started since it was computed
}

// reset selects the workers that are usable at now.
func (c *startCandidates) reset(workers map[string]*worker, now time.Time) {
	c.workers = c.workers[:0]
	for _, w := range workers {
		if w.usable(now) {
			c.workers = append(c.workers, w)
		}
	}
	c.measure()
}

func (c *startCandidates) measure() {
	c.maxFree, c.maxFreeStale = Resources{}, false
	for _, w := range c.workers {
		free := w.free()
		c.maxFree.MilliCPU = max(c.maxFree.MilliCPU, free.MilliCPU)
		c.maxFree.MemoryMB = max(c.maxFree.MemoryMB, free.MemoryMB)
		c.maxFree.Accelerators = max(c.maxFree.Accelerators, free.Accelerators)
	}
}

// mayFit reports whether need may fit on some candidate. It may report true where
// nothing fits, but never false where something does.
func (c *startCandidates) mayFit(need Resources) bool {
	if need.Fits(c.maxFree) && c.maxFreeStale {
		c.measure()
	}
	return need.Fits(c.maxFree)
}
