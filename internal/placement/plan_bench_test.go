package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/placement"
)

// The size of the fleet that the requirements name, and its load.
const (
	benchWorkers     = 910
	benchAccelerated = 300 // workers with 4 accelerators each, 1,200 in all
	benchTeams       = 300
	benchRunning     = 3000
	benchEnded       = 3200
	benchQueued      = 2000
)

// benchSnapshot returns a fleet with running, ended and queued jobs.
func benchSnapshot() *placement.Snapshot {
	random := rand.New(rand.NewPCG(1, 1))
	s := &placement.Snapshot{Now: now, Started: now.Add(-time.Hour), Usage: map[string]placement.Usage{}, Teams: map[string]placement.Team{}}
	for i := range benchWorkers {
		size := fleet.Resources{MilliCores: 32000, MemoryMB: 131072}
		if i < benchAccelerated {
			size.Accelerators = 4
		}
		s.Workers = append(s.Workers, worker(fmt.Sprintf("w-%03d", i), size))
	}
	for i := range benchTeams {
		s.Teams[fmt.Sprintf("team-%03d", i)] = placement.Team{Quota: fleet.Resources{MilliCores: 320000, MemoryMB: 1310720, Accelerators: 16}, TopClass: fleet.Urgent}
	}
	for i := range benchRunning + benchEnded + benchQueued {
		size := fleet.Resources{MilliCores: 1000 * (1 + random.IntN(16)), MemoryMB: 2048 * (1 + random.IntN(32))}
		if random.IntN(8) == 0 {
			size.Accelerators = 1 + random.IntN(4)
		}
		j := job(fmt.Sprintf("job-%05d", i), fmt.Sprintf("team-%03d", random.IntN(benchTeams)), fleet.Class(random.IntN(3)), size)
		j.Name = fmt.Sprintf("kind-%d", random.IntN(5))
		switch {
		case i < benchRunning:
			on := fmt.Sprintf("w-%03d", i%benchWorkers)
			if size.Accelerators > 0 {
				on = fmt.Sprintf("w-%03d", i%benchAccelerated)
			}
			j.Size = fleet.Resources{MilliCores: 1000 * (1 + random.IntN(8)), MemoryMB: 16384, Accelerators: min(size.Accelerators, 1)}
			j, _ = j.Start(on, now.Add(-time.Minute))
			j.Phase = placement.Running
			s.Usage[j.Attempt.Task] = placement.Usage{ReportedAt: now, Ran: time.Minute, Peak: j.Size}
		case i < benchRunning+benchEnded:
			j, _ = j.Start(fmt.Sprintf("w-%03d", i%benchWorkers), now.Add(-time.Minute))
			j.Phase, j.Since = placement.Finished, now.Add(-time.Second)
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// acceleratorsWasted returns the number of accelerators on workers that have too
// few processors or too little memory left for a small job that needs one.
func acceleratorsWasted(s *placement.Snapshot, d placement.Decisions) int {
	free := map[string]fleet.Resources{}
	for _, w := range s.Workers {
		free[w.ID] = w.Size
	}
	jobs := map[string]placement.Job{}
	for _, j := range s.Jobs {
		jobs[j.ID] = j
		if j.Phase.Placed() {
			free[j.Attempt.Worker] = free[j.Attempt.Worker].Minus(j.Size)
		}
	}
	for _, start := range d.Starts {
		free[start.Worker] = free[start.Worker].Minus(jobs[start.Job].Size)
	}
	wasted := 0
	for _, f := range free {
		if f.MilliCores < 4000 || f.MemoryMB < 8192 {
			wasted += max(f.Accelerators, 0)
		}
	}
	return wasted
}

// BenchmarkPlan measures one plan at the required size of the fleet, with
// FirstFit and BestFit as baselines.
func BenchmarkPlan(b *testing.B) {
	for name, fit := range map[string]placement.Fit{"KeepAccelerators": placement.KeepAccelerators, "FirstFit": placement.FirstFit, "BestFit": placement.BestFit} {
		b.Run(name, func(b *testing.B) {
			s := benchSnapshot()
			policy := placement.DefaultPolicy()
			policy.Fit = fit
			var d placement.Decisions
			b.ReportAllocs()
			for b.Loop() {
				d = placement.Plan(s, policy)
			}
			b.ReportMetric(float64(len(d.Starts)), "starts")
			b.ReportMetric(float64(len(d.Preemptions)), "preemptions")
			b.ReportMetric(float64(acceleratorsWasted(s, d)), "wasted-accelerators")
		})
	}
}
