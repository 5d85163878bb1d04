package scheduler

// JobState is what callers are told of a job.
type JobState uint8

// The states. A job never leaves the last three.
const (
	Queued JobState = iota
	Active
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"queued", "active", "completed", "failed", "cancelled"}

// String returns the state's name in logs and metrics.
func (s JobState) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Final reports whether a job stays in the state for good.
func (s JobState) Final() bool { return s >= Completed }
