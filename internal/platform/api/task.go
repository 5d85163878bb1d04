package api

import "persimmonbay/internal/fleet"

// Task is the platform's word on one task.
type Task struct {
	ID        string          `json:"id"`
	State     fleet.TaskState `json:"state"`
	Percent   int             `json:"percent"`          // of its processors that it may use; 100 unless throttled
	RanMillis int64           `json:"ranMillis"`        // since it started on this worker
	Usage     fleet.Resources `json:"usage,omitzero"`   // as reported last; it lags
	Detail    string          `json:"detail,omitempty"` // why it failed
}
