package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// takeOverRun is a run on a takeOverWorker.
type takeOverRun struct {
	task    scheduler.TaskID
	attempt int
	doneAt  time.Time // zero: it runs until its lease ends
}
