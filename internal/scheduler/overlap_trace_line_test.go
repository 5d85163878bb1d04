package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapTraceLine is one line of the trace. A line without a job concerns all tasks, or
// those of one incarnation of a worker.
type overlapTraceLine struct {
	at          time.Time
	job         string
	task        scheduler.TaskID // empty: the whole job
	incarnation string           // empty: none
	text        string
}
