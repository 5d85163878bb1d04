package scheduler

import "time"

// Step is a group of alike tasks of a job.
type Step struct {
	Count          int
	Need           Resources // of each task
	Estimate       time.Duration
	After          []int  // steps whose tasks must all be done first
	Gang           bool   // the tasks work only together
	SameRack       bool   // the tasks are slower on more than one rack
	Label          string // the worker must carry it; empty: any worker
	DataRack       string // where the tasks run fastest; empty: anywhere
	MaxPerWorker   int    // tasks of one occurrence on one worker; 0: no limit
	Checkpointing  bool
	Speculative    bool
	LongRunning    bool // runs until the job is cancelled
	Image          string
	Target         time.Duration // bound of the tail latency of a serving task; 0: none
	BestEffort     bool          // takes only processor time that others leave
	MaxUnavailable int           // tasks that may be unavailable through the system's own doing
}

// reserved returns what a task of the step takes from a worker's capacity.
func (s *Step) reserved() Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}
