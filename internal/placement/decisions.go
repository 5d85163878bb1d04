package placement

// Decisions are the result of a plan. Each changes one job, and applies only
// while that job is in the state in which the plan found it.
type Decisions struct {
	Starts      []Start
	Preemptions []Preemption
	Restored    []string  // IDs of throttled jobs that get all their processors back
	Lost        []string  // IDs of jobs whose worker is gone or does not respond
	GivenUp     []GivenUp // jobs that failed too often, or use more than their quota or any worker has
	Quarantined []string  // IDs of workers that get no tasks because they fail jobs that succeed elsewhere
}
