package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapLine is one line of the trace. Without a job it concerns all tasks, or
// those of a worker's incarnation.
type overlapLine struct {
	at          time.Time
	job         string
	task        scheduler.TaskID // empty: the whole job
	incarnation string           // empty: none
	text        string
}
