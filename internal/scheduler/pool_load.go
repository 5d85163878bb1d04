package scheduler

import (
	"math"
	"time"
)

// unit is the capacity of one usual machine of the pool, by those that have
// answered: an entry of the list alone may be no machine. Before any has, the
// list has to do.
func (p *Pool) machineCapacity() Resources {
	if mean, any := p.meanCapacity(func(w *worker) bool { return w.fenced }); any {
		p.lastMachineCapacity = mean
	}
	if p.lastMachineCapacity != (Resources{}) {
		return p.lastMachineCapacity
	}
	mean, _ := p.meanCapacity(func(*worker) bool { return true })
	return mean
}

// meanCapacity is that of the listed workers that count; false without any.
func (p *Pool) meanCapacity(counts func(w *worker) bool) (mean Resources, any bool) {
	var sum Resources
	n := 0
	for _, w := range p.workers {
		if w.listed && !w.lost && counts(w) {
			sum = sum.Plus(w.info.Capacity)
			n++
		}
	}
	if n == 0 {
		return Resources{}, false
	}
	return Resources{MilliCPU: sum.MilliCPU / n, MemoryMB: sum.MemoryMB / n, Accelerators: sum.Accelerators / n}, true
}

// share returns which part of unit r takes, by what is scarcest.
func (r Resources) share(unit Resources) float64 {
	part := func(need, have int) float64 {
		if need <= 0 || have <= 0 {
			return 0
		}
		return float64(need) / float64(have)
	}
	return max(part(r.MilliCPU, unit.MilliCPU), part(r.MemoryMB, unit.MemoryMB), part(r.Accelerators, unit.Accelerators))
}

// measure sums up the pool's load at now.
func (p *Pool) measure(now time.Time) Load {
	unit := p.machineCapacity()
	var l Load
	for _, w := range p.workers {
		if w.inService() || p.finishingForOffer(w) {
			l.Usable += max(w.info.Capacity.share(unit), smallestShare)
		}
		for _, r := range w.runs {
			l.Used += r.reserved.share(unit)
			if r.stage != nil && r.stage.step.LongRunning { // nil: of a job that is not known any more
				l.LongRunning += r.reserved.share(unit)
			}
		}
	}
	l.Expected = max(p.shortArrivals.lowerBound(now), p.longArrivals.lowerBound(now))
	for _, j := range p.jobOrder {
		if j.progress.State.Final() || j.rank.class >= veryLateClass {
			continue
		}
		p.measureJob(j, unit, now, &l)
	}
	return l
}

// comeIn counts the work of a job that was just accepted.
func (p *Pool) addArrival(j *job, now time.Time) {
	unit := p.machineCapacity()
	work := 0.0
	for i := range j.sub.Steps {
		step := &j.sub.Steps[i]
		if !step.LongRunning {
			work += float64(step.Count) * step.reserved().share(unit) * p.durations.expectedTask(j.sub.Queue, step.Estimate).Seconds()
		}
	}
	if work > 0 {
		p.shortArrivals.add(work, now)
		p.longArrivals.add(work, now)
	}
}

// smallestShare counts for a machine that offers next to nothing.
const smallestShare = 0.01

func (p *Pool) measureJob(j *job, unit Resources, now time.Time, l *Load) {
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			if s.incomplete == 0 {
				continue
			}
			each := s.step.reserved().share(unit)
			if s.step.LongRunning {
				l.Widest = max(l.Widest, s.minMachines())
			} else {
				l.Backlog += float64(s.incomplete) * each * p.durations.expectedTask(j.sub.Queue, s.step.Estimate).Seconds()
			}
			if !o.stageReady(s) {
				continue
			}
			for _, t := range s.tasks {
				if t.startable(now) {
					l.Waiting += each
				}
			}
		}
	}
}

// machines returns how many machines the stage needs because it limits its
// tasks on one.
func (s *stage) minMachines() int {
	if s.step.MaxPerWorker == 0 {
		return 1
	}
	return (s.step.Count + s.step.MaxPerWorker - 1) / s.step.MaxPerWorker
}

// follow moves the recent peaks of the load on: they rise at once and fall by
// half in their half-lives.
func (p *Pool) updatePeaks(l *Load, now time.Time) {
	current := l.Used + l.Waiting
	if p.loadPeakAt.IsZero() {
		p.loadPeakAt, p.longLoadPeak = now, l.Usable // nothing is known yet
	}
	since := float64(now.Sub(p.loadPeakAt))
	p.loadPeak = max(current, p.loadPeak*math.Exp2(-since/float64(peakHalfLife)))
	p.longLoadPeak = max(min(current, l.Usable), p.longLoadPeak*math.Exp2(-since/float64(longHalfLife)))
	p.loadPeakAt = now
}

const (
	// peakHalfLife is how long a machine stays after the load that it was
	// needed for: about as long as its move there and back takes.
	peakHalfLife = 400 * time.Millisecond
	// longHalfLife is how long a burst is remembered: bursts of a queue come
	// tens of seconds apart.
	longHalfLife = 30 * time.Second
)
