package scheduler_test

import "persimmonbay/internal/scheduler"

// overlapJob is a job in the store with its saved progress.
type overlapJob struct {
	sub      scheduler.Submission
	created  int64 // store revision of its acceptance
	revision int64 // store revision of the progress
	owner    int64 // token of the owner at its acceptance; 0: none
	progress scheduler.Progress
	removed  bool // the submission is removed
}
