package scheduler

import (
	"cmp"
	"strings"
)

// TaskID identifies one task of a job. The names of its fields are stored.
type TaskID struct {
	Job        string
	Occurrence int // from 0
	Step       int
	Index      int
}

// compare orders tasks by job, occurrence, step and index.
func (t TaskID) compare(o TaskID) int {
	return cmp.Or(strings.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}
