package worker

import "persimmonbay/internal/platform/api"

// Order is what the stand-in platform passes on to a worker.
type Order struct {
	Request    api.TaskRequest `json:"request"`
	DoneMillis int64           `json:"doneMillis"` // progress of the checkpoint it goes on from
}
