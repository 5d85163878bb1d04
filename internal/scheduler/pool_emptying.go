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
			w.leaving = false
		}
		w.leaving = w.leaving || emptied[w.info.Machine]
	}
}

// chooseLeaving begins to empty machines whose emptying is requested: as many as the
// pool can spare now, and at least so many that all are over in time.
func (p *Pool) chooseLeaving(now, wall time.Time) {
	var open []*worker
	leaving := 0
	soonest := time.Time{}
	for _, w := range p.workers {
		by := p.toEmpty[w.info.Machine]
		if w.info.Machine == "" || by.IsZero() || !w.listed || w.lost {
			continue
		}
		if w.leaving {
			leaving++
			continue
		}
		open = append(open, w)
		if soonest.IsZero() || by.Before(soonest) {
			soonest = by
		}
	}
	if len(open) == 0 {
		return
	}
	slices.SortFunc(open, func(a, b *worker) int {
		if a.used.MilliCPU != b.used.MilliCPU {
			return a.used.MilliCPU - b.used.MilliCPU
		}
		return compareIDs(a, b)
	})
	allowed := max(due(len(open)+leaving, soonest.Sub(wall)), p.sparable(now)+leaving)
	for _, w := range open {
		if leaving >= allowed {
			return
		}
		w.leaving = true
		leaving++
	}
}

// due returns how many of n machines must be down at once to be over in time.
func due(n int, left time.Duration) int {
	return min(n, int(float64(n)*upkeepTime.Seconds()/max(left-upkeepTime/2, upkeepTime/4).Seconds()))
}

// sparable returns how many machines the recent peak leaves free.
func (p *Pool) sparable(now time.Time) int {
	l := p.measure(now)
	p.follow(&l, now)
	return max(int(math.Floor(l.Usable-max(p.peak*headroom, float64(l.Widest)))), 0)
}

func compareIDs(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) }

// upkeepTime is how long a machine is away for its upkeep: emptied, down, and
// back with its first poll.
const upkeepTime = 4500 * time.Millisecond
