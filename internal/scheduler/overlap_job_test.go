package scheduler_test

import "persimmonbay/internal/scheduler"

// overlapJob is a job in the store, with its progress.
type overlapJob struct {
	sub      scheduler.Submission
	created  int64
	revision int64 // of the progress
	owner    int64 // revision of the ownership at its acceptance; 0: nobody had it
	progress scheduler.Progress
	removed  bool // the submission
}
