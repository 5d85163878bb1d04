package scheduler

// FormerRun is the last run of a task that ended or was given up, for the logs. The zero
// value is none.
type FormerRun struct {
	Worker      string
	Incarnation int64 // that ran it: start of the worker's process, Unix time in milliseconds; 0: unknown
	Attempt     int
	Outcome     RunOutcome
}
