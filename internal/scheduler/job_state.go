package scheduler

// JobState is the state of a job as callers see it. The numbers are stored.
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

// String returns the name of the state in logs and metrics.
func (s JobState) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Final reports whether a job never leaves the state.
func (s JobState) Final() bool { return s >= Completed }
