package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"
)

// SetMachinesToEmpty sets the machines that are to be emptied, with the time of day by
// which their maintenance should be over, and those that were reported as empty. The
// latter may be taken down at any time, so no task starts there, whichever worker runs
// on them.
func (p *Pool) SetMachinesToEmpty(machines map[string]time.Time, emptied map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toEmpty, p.emptied = machines, emptied
	p.dropEmptyClaims()
	for _, w := range p.workers {
		if p.toEmpty[w.info.Machine].IsZero() {
			w.emptying = false
		}
		w.emptying = w.emptying || emptied[w.info.Machine]
	}
}

// chooseMachinesToEmpty begins to empty machines that are to be emptied: as many as the
// pool can spare now, and at least as many as are needed for all to be over in time.
func (p *Pool) chooseMachinesToEmpty(now, wall time.Time) {
	var candidates []*worker
	emptying := 0
	earliest := time.Time{}
	for _, w := range p.workers {
		by := p.toEmpty[w.info.Machine]
		if w.info.Machine == "" || by.IsZero() || !w.listed || w.lost {
			continue
		}
		if w.emptying {
			emptying++
			continue
		}
		candidates = append(candidates, w)
		if earliest.IsZero() || by.Before(earliest) {
			earliest = by
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		if a.used.MilliCPU != b.used.MilliCPU {
			return a.used.MilliCPU - b.used.MilliCPU
		}
		return compareIDs(a, b)
	})
	allowed := max(machinesDownAtOnce(len(candidates)+emptying, earliest.Sub(wall)), p.sparableMachines(now)+emptying)
	for _, w := range candidates {
		if emptying >= allowed {
			return
		}
		w.emptying = true
		emptying++
	}
}

// machinesDownAtOnce returns how many of n machines have to be down at once, if the
// maintenance of all should be over within remaining.
func machinesDownAtOnce(n int, remaining time.Duration) int {
	return min(n, int(float64(n)*maintenanceTime.Seconds()/max(remaining-maintenanceTime/2, maintenanceTime/4).Seconds()))
}

// sparableMachines returns how many machines the recent peak of the load leaves free.
func (p *Pool) sparableMachines(now time.Time) int {
	l := p.measure(now)
	p.updatePeaks(&l, now)
	return max(int(math.Floor(l.Usable-max(p.loadPeak*peakHeadroom, float64(l.Widest)))), 0)
}

func compareIDs(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) }

// maintenanceTime is how long a machine is missing for its maintenance: from the start
// of its emptying until its worker answers the first poll.
const maintenanceTime = 4500 * time.Millisecond
