package scheduler

import "time"

// Step is a group of tasks of a job that are alike.
type Step struct {
	Count          int
	Need           Resources // of each task
	Estimate       time.Duration
	After          []int         // indexes of the steps that have to be complete first
	Gang           bool          // the tasks run only together: all are started, or none
	SameRack       bool          // the tasks are slower when they run in more than one rack
	Label          string        // that the worker must have; empty: any worker
	DataRack       string        // label of the rack with the tasks' data, where they run fastest; empty: any rack
	MaxPerWorker   int           // limit of tasks of one occurrence on one worker; 0: none
	Checkpointing  bool          // a next run of a task starts from the last checkpoint that a worker reported
	Speculative    bool          // stored with the job; the scheduler does not use it
	LongRunning    bool          // runs until the job is cancelled
	Image          string        // stored with the job; the scheduler does not use it
	Target         time.Duration // bound on the tail latency of a serving task; 0: the tasks do not serve
	BestEffort     bool          // the tasks use only processor time that other tasks leave
	MaxUnavailable int           // tasks that may be unavailable through the system's own doing
}

// machinesFor returns how many machines of the given capacity n tasks need: at least the
// part of a machine that they take, and more if few of them may share one.
func (s *Step) machinesFor(n int, unit Resources) float64 {
	each := max(float64(s.reserved().timesIn(unit)), 1)
	if s.MaxPerWorker > 0 {
		each = min(each, float64(s.MaxPerWorker))
	}
	return float64(n) / each
}

// reserved returns the part of a worker's capacity that a task of the step takes. A
// best-effort task takes no processor capacity.
func (s *Step) reserved() Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}
