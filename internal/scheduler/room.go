package scheduler

import "time"

// room is the workers that take new tasks during one plan. Most tasks of an
// overloaded pool fit nowhere, which most tells at once.
type room struct {
	workers []*worker
	most    Resources // the most that is free on any of them, each kind by itself
	stale   bool      // most may be too large: something was started since
}

// reset takes in which workers are usable at now.
func (r *room) reset(workers map[string]*worker, now time.Time) {
	r.workers = r.workers[:0]
	for _, w := range workers {
		if w.usable(now) {
			r.workers = append(r.workers, w)
		}
	}
	r.measure()
}

func (r *room) measure() {
	r.most, r.stale = Resources{}, false
	for _, w := range r.workers {
		free := w.free()
		r.most.MilliCPU = max(r.most.MilliCPU, free.MilliCPU)
		r.most.MemoryMB = max(r.most.MemoryMB, free.MemoryMB)
		r.most.Accelerators = max(r.most.Accelerators, free.Accelerators)
	}
}

// mayTake reports whether some worker may have room for need; false is sure.
func (r *room) mayTake(need Resources) bool {
	if need.Fits(r.most) && r.stale {
		r.measure()
	}
	return need.Fits(r.most)
}
