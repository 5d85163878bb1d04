package placement

// Decisions are the next steps of a plan. Each changes one job, and only while
// the job is as it was when the plan was made.
type Decisions struct {
	Starts      []Start
	Preemptions []Preemption
	Restored    []string  // throttled jobs that get all their processors back
	Lost        []string  // jobs whose worker is gone
	GivenUp     []GivenUp // jobs that fail or exceed what there is wherever they run
	Quarantined []string  // workers that get no work because they fail what others run
}
