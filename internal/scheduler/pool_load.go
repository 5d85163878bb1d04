package scheduler

import (
	"math"
	"time"
)

// machineCapacity returns the mean capacity of the pool's machines. Only listed workers
// that have answered count, since the list may hold entries without a machine. If there
// are none, it returns the last such mean, or that of all listed workers if none has
// answered so far.
func (p *Pool) machineCapacity() Resources {
	if mean, found := p.meanCapacity(func(w *worker) bool { return w.fenced }); found {
		p.lastMachineCapacity = mean
	}
	if p.lastMachineCapacity != (Resources{}) {
		return p.lastMachineCapacity
	}
	mean, _ := p.meanCapacity(func(*worker) bool { return true })
	return mean
}

// meanCapacity returns the mean capacity of the listed workers for which counts is
// true, and false if there are none.
func (p *Pool) meanCapacity(counts func(w *worker) bool) (mean Resources, found bool) {
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

// share returns the share of unit that r takes, in the resource of which it takes most.
func (r Resources) share(unit Resources) float64 {
	part := func(need, have int) float64 {
		if need <= 0 || have <= 0 {
			return 0
		}
		return float64(need) / float64(have)
	}
	return max(part(r.MilliCPU, unit.MilliCPU), part(r.MemoryMB, unit.MemoryMB), part(r.Accelerators, unit.Accelerators))
}

// measure returns the pool's load at now. Jobs in veryLateClass do not count, so that the
// pool keeps no machines for all their work at once: findRoomNeeds keeps them going.
func (p *Pool) measure(now time.Time) Load {
	unit := p.machineCapacity()
	var l Load
	for _, w := range p.workers {
		if w.inService() || p.finishingForOffer(w) {
			l.Usable += max(w.info.Capacity.share(unit), smallestShare)
		}
		for _, r := range w.runs {
			l.Used += r.reserved.share(unit)
			if r.stage != nil && r.stage.step.LongRunning { // nil: the pool does not have its job
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

// addArrival adds the work of a job that was just accepted to the arrival rates.
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

// smallestShare is the least that a machine counts for, however little it offers.
const smallestShare = 0.01

func (p *Pool) measureJob(j *job, unit Resources, now time.Time, l *Load) {
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			if s.incomplete == 0 {
				continue
			}
			perTask := s.step.reserved().share(unit)
			if s.step.LongRunning {
				l.Widest = max(l.Widest, s.minMachines())
			} else {
				l.Backlog += float64(s.incomplete) * perTask * p.durations.expectedTask(j.sub.Queue, s.step.Estimate).Seconds()
			}
			if !o.stageReady(s) || !s.atCapSince.IsZero() {
				continue
			}
			for _, t := range s.tasks {
				if t.startable(now) {
					l.Waiting += perTask
				}
			}
		}
	}
}

// minMachines returns how many machines the stage needs at least, by its limit of tasks
// on one worker.
func (s *stage) minMachines() int {
	if s.step.MaxPerWorker == 0 {
		return 1
	}
	return (s.step.Count + s.step.MaxPerWorker - 1) / s.step.MaxPerWorker
}

// updatePeaks updates the recent peaks of the load. They rise at once and decay with
// their half-lives.
func (p *Pool) updatePeaks(l *Load, now time.Time) {
	current := l.Used + l.Waiting
	if p.loadPeakAt.IsZero() {
		p.loadPeakAt, p.longLoadPeak = now, l.Usable // no load was measured before
	}
	since := float64(now.Sub(p.loadPeakAt))
	p.loadPeak = max(current, p.loadPeak*math.Exp2(-since/float64(peakHalfLife)))
	p.longLoadPeak = max(min(current, l.Usable), p.longLoadPeak*math.Exp2(-since/float64(longHalfLife)))
	p.loadPeakAt = now
}

const (
	// peakHalfLife sets how long a machine stays after the load that needed it: about as
	// long as its move to another pool and back takes.
	peakHalfLife = 400 * time.Millisecond
	// longHalfLife sets how long a burst is remembered: the bursts of a queue are tens of
	// seconds apart.
	longHalfLife = 30 * time.Second
)
