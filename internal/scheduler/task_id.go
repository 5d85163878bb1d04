package scheduler

import (
	"cmp"
	"strings"
)

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int // counted from 0; 0 for a job that does not repeat
	Step       int
	Index      int
}

// compare orders tasks by job, occurrence, step and index.
func (t TaskID) compare(o TaskID) int {
	return cmp.Or(strings.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}
