package scheduler_test

import "persimmonbay/internal/scheduler"

// takeOverJob is a job as the store has it.
type takeOverJob struct {
	sub      scheduler.Submission
	created  int64
	revision int64 // of its progress
	progress scheduler.Progress
	removed  bool
}
