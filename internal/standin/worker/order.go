package worker

import "persimmonbay/internal/platform/api"

// Order is the order to run a task that the stand-in platform forwards to a worker.
type Order struct {
	Request    api.TaskRequest `json:"request"`
	DoneMillis int64           `json:"doneMillis"` // progress of the checkpoint to resume from, at full speed
}
