package door

import "time"

// Job is a job that arrives.
type Job struct {
	ID        string
	Team      string
	Queue     string
	Depth     int           // steps in its longest chain
	Stretch   float64       // its objective is Stretch times the longest chain of work, plus Objective
	Objective time.Duration // as in Stretch
	Deferred  bool          // it is long-running or starts at a time of its own
}

// objective returns the time that the job's objective allows, if its longest chain takes
// chain.
func (j *Job) objective(chain time.Duration) time.Duration {
	return time.Duration(j.Stretch*float64(chain)) + j.Objective
}
