package scheduler

import "time"

// startRefusals counts how often in a row a worker refused starts as unhealthy.
type startRefusals int

// add counts a refusal and returns how long no further task is to start on the worker.
func (s *startRefusals) add() time.Duration {
	*s++
	return min(time.Duration(*s)*blockAfterFailure, maxBlockWhenUnhealthy)
}

// persist reports whether the worker is to be taken for one that refuses all starts.
func (s startRefusals) persist() bool { return s >= persistentRefusals }

const (
	// maxBlockWhenUnhealthy bounds how long a worker that is well again gets no task.
	maxBlockWhenUnhealthy = time.Second
	// persistentRefusals are more than one short fault of a worker gives.
	persistentRefusals = 2
)
