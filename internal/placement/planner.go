package placement

import "persimmonbay/internal/fleet"

// planner gathers the decisions of one plan. It lives for one call of Plan and
// is not shared.
type planner struct {
	s         *Snapshot
	policy    Policy
	kinds     map[Kind]*learned
	bad       map[string]bool // quarantined workers
	proven    map[string]bool // workers that run jobs well
	rooms     []room          // as s.Workers
	byID      map[string]*room
	largest   fleet.Resources            // amounts of the largest workers
	used      map[string]fleet.Resources // by team
	yielded   map[string]fleet.Resources // by team: what it gives up
	searches  int                        // for room to preempt, left
	decisions Decisions
	preempted map[string]bool // jobs
}
