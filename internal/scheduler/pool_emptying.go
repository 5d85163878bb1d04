package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"
)

// SetMachinesToEmpty names the machines that are to be emptied, with the time of day by
// which their upkeep should be over, and those that were said to be empty: they
// may be taken down at any time, so nothing starts on any incarnation of theirs.
func (p *Pool) SetMachinesToEmpty(machines map[string]time.Time, emptied map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toEmpty, p.emptied = machines, emptied
	for _, w := range p.workers {
		if p.toEmpty[w.info.Machine].IsZero() {
			w.emptying = false
		}
		w.emptying = w.emptying || emptied[w.info.Machine]
	}
}

// chooseLeaving begins to empty machines whose emptying is requested: as many as the
// pool can spare now, and at least so many that all are over in time.
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

// due returns how many of n machines must be down at once to be over in time.
func machinesDownAtOnce(n int, remaining time.Duration) int {
	return min(n, int(float64(n)*maintenanceTime.Seconds()/max(remaining-maintenanceTime/2, maintenanceTime/4).Seconds()))
}

// sparable returns how many machines the recent peak leaves free.
func (p *Pool) sparableMachines(now time.Time) int {
	l := p.measure(now)
	p.updatePeaks(&l, now)
	return max(int(math.Floor(l.Usable-max(p.loadPeak*peakHeadroom, float64(l.Widest)))), 0)
}

func compareIDs(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) }

// upkeepTime is how long a machine is away for its upkeep: emptied, down, and
// back with its first poll.
const maintenanceTime = 4500 * time.Millisecond
