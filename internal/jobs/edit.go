package jobs

import "persimmonbay/internal/placement"

// edit is a change of one job. It returns false when the job is no longer as it
// was when the change was decided.
type edit struct {
	job    string
	urgent bool // goes before others when writes are short
	change func(placement.Job) (placement.Job, bool)
}
