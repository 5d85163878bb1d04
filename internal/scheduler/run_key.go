package scheduler

// runKey identifies one run.
type runKey struct {
	task    TaskID
	attempt int
}
