package work_test

import "persimmonbay/internal/work"

// overlapJob is a job in the store, with its progress.
type overlapJob struct {
	sub      work.Submission
	created  int64
	revision int64 // of the progress
	owner    int64 // revision of the ownership at its acceptance; 0: nobody had it
	progress work.Progress
	removed  bool // the submission
}
