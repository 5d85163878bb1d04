package work_test

import (
	"time"

	"persimmonbay/internal/work"
)

// overlapLine is one line of the trace. Without a job it concerns all tasks, or
// those of a worker's incarnation.
type overlapLine struct {
	at   time.Time
	job  string
	task work.TaskID // empty: the whole job
	life string      // empty: none
	text string
}
