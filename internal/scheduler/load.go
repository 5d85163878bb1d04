package scheduler

// Load is a pool's work and capacity, in machines of the pool's mean capacity. An
// amount is measured by the resource of which it takes the largest share.
type Load struct {
	Used        float64 // reserved by runs
	Waiting     float64 // needed by tasks that could start now
	Backlog     float64 // machine-seconds of the tasks that are not done, except long-running ones
	Usable      float64 // machines in service, and those that finish their runs before they are offered
	LongRunning float64 // reserved by long-running tasks
	Expected    float64 // kept busy by arriving jobs, a low estimate
	Widest      int     // machines needed by the long-running step that needs most, by its limit of tasks on one worker
}
