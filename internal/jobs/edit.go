package jobs

import "persimmonbay/internal/placement"

// edit is a change of one job. change returns false when it does not apply to the
// job's current state.
type edit struct {
	job    string
	urgent bool // written before others when the write rate is limited
	change func(placement.Job) (placement.Job, bool)
}
