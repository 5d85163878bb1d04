package scheduler

// fit compares workers as places for one task.
type fit struct {
	failedThere  bool // the task's last failure was there
	awayFromData bool // the task's data is in another rack
	awayFromStep bool // the step's tasks belong in one rack, and the others run in another
	failedJobs   int  // number of jobs that failed there since the last success
	freeMilliCPU int  // that stays free
	id           string
}

// before reports whether f is preferred to o. Among equals the worker with less free
// capacity is preferred, so that others stay free for large tasks.
func (f fit) before(o fit) bool {
	switch {
	case f.failedThere != o.failedThere:
		return !f.failedThere
	case f.awayFromData != o.awayFromData:
		return !f.awayFromData
	case f.awayFromStep != o.awayFromStep:
		return !f.awayFromStep
	case f.failedJobs != o.failedJobs:
		return f.failedJobs < o.failedJobs
	case f.freeMilliCPU != o.freeMilliCPU:
		return f.freeMilliCPU < o.freeMilliCPU
	}
	return f.id < o.id
}
