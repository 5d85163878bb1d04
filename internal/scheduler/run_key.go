package scheduler

// runKey names one run.
type runKey struct {
	task    TaskID
	attempt int
}
