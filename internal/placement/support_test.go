package placement_test

import (
	"fmt"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/placement"
)

// now is the time of all plans.
var now = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

// cores returns n processors with 2 GB of memory each.
func cores(n int) fleet.Resources { return fleet.Resources{MilliCores: 1000 * n, MemoryMB: 2048 * n} }

func worker(id string, size fleet.Resources) placement.Worker {
	return placement.Worker{ID: id, Size: size, Live: true}
}

func workers(n int, size fleet.Resources) []placement.Worker {
	var all []placement.Worker
	for i := range n {
		all = append(all, worker(fmt.Sprintf("w-%03d", i), size))
	}
	return all
}

func job(id, team string, class fleet.Class, size fleet.Resources) placement.Job {
	return placement.Job{ID: id, Team: team, Name: id, Class: class, Size: size, RunTime: time.Minute, Repeatable: true,
		Submitted: now.Add(-time.Minute), Phase: placement.Queued}
}

// runningOn returns j in phase Running on the worker, started 30 s before now.
func runningOn(j placement.Job, worker string) placement.Job {
	j, _ = j.Start(worker, now.Add(-30*time.Second))
	j.Phase = placement.Running
	return j
}

func snapshot(workers []placement.Worker, jobs ...placement.Job) *placement.Snapshot {
	s := &placement.Snapshot{Now: now, Started: now.Add(-time.Hour), Workers: workers, Jobs: jobs,
		Usage: map[string]placement.Usage{}, Teams: map[string]placement.Team{}}
	for _, j := range jobs {
		s.Teams[j.Team] = placement.Team{Quota: cores(1000), TopClass: fleet.Urgent}
		if j.Phase.Placed() {
			s.Usage[j.Attempt.Task] = placement.Usage{ReportedAt: now}
		}
	}
	return s
}

func plan(s *placement.Snapshot) placement.Decisions {
	return placement.Plan(s, placement.DefaultPolicy())
}
