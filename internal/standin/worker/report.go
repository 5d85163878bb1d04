package worker

import "persimmonbay/internal/platform/api"

// Report is a worker's report on a task.
type Report struct {
	Task       api.Task `json:"task"`
	Known      bool     `json:"known"`      // the worker has run the task
	DoneMillis int64    `json:"doneMillis"` // progress, in milliseconds at full speed
}
