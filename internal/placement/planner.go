package placement

import "persimmonbay/internal/fleet"

// planner holds the state of one call of Plan. It is used by one goroutine.
type planner struct {
	snapshot     *Snapshot
	policy       Policy
	kinds        map[Kind]*kindNeeds
	quarantined  map[string]bool // by worker ID
	proven       map[string]bool // by worker ID: finished a job recently and is not quarantined
	capacities   []capacity      // in the order of Snapshot.Workers
	byID         map[string]*capacity
	largest      fleet.Resources            // maximum of each resource over all workers
	used         map[string]fleet.Resources // by team
	released     map[string]fleet.Resources // by team: the part of used that leaving and preempted jobs free
	searchesLeft int                        // searches for preemptions
	decisions    Decisions
	preempted    map[string]bool // by job ID
}
