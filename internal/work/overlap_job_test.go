package work_test

import "persimmonbay/internal/work"

// overlapJob is a job in the store, with its progress.
type overlapJob struct {
	sub      work.Submission
	created  int64
	revision int64 // of the progress
	progress work.Progress
	removed  bool // the submission
}
