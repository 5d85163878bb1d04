package scheduler

import (
	"maps"
	"slices"
	"time"

	"persimmonbay/internal/door"
)

// DoorReport returns the pool's report on the work ahead at now, and false if no team has a
// share or the pool is being loaded. A report is made each doorInterval at most.
func (p *Pool) DoorReport(now time.Time) (door.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loading || !p.teams.HasShares() {
		return door.Report{}, false
	}
	if age := now.Sub(p.doorReport.At); age < 0 || age >= doorInterval {
		p.doorReport = p.makeDoorReport(now)
	}
	return p.doorReport, true
}

// doorInterval bounds the processor time of reports.
const doorInterval = 100 * time.Millisecond

func (p *Pool) makeDoorReport(now time.Time) door.Report {
	r := door.Report{At: now, Cores: float64(p.machinesAsked*p.lastMachineCapacity.MilliCPU) / 1000}
	for _, w := range p.workers {
		if w.inService() {
			r.Cores += float64(w.info.Capacity.MilliCPU) / 1000
		}
	}
	for _, s := range p.waitingStages {
		j := s.job
		if j.beyond || j.progress.State.Final() || s.step.LongRunning {
			continue
		}
		waiting := max(s.incomplete-j.activeRuns, 0)
		r.Within += float64(waiting*s.step.reserved().MilliCPU) / 1000 * p.durations.expectedTask(j.sub.Queue, s.step.Estimate).Seconds()
	}
	spent := p.teams.Spent(now)
	for _, team := range slices.Sorted(maps.Keys(spent)) {
		r.Spent = append(r.Spent, door.Spent{Team: team, For: spent[team]})
	}
	for _, queue := range slices.Sorted(maps.Keys(p.durations.steps)) {
		if len(r.Paces) < maxPaces && p.durations.steps[queue].count >= minSamples {
			r.Paces = append(r.Paces, door.Pace{Queue: queue, Step: p.durations.steps[queue].mean})
		}
	}
	return r
}

// maxPaces bounds the size of a report.
const maxPaces = 32
