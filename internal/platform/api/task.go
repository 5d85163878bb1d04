package api

import "persimmonbay/internal/fleet"

// Task is the state of one task as the platform reports it.
type Task struct {
	ID        string          `json:"id"`
	State     fleet.TaskState `json:"state"`
	Percent   int             `json:"percent"`          // share of its processors that it may use; 100 unless throttled
	RanMillis int64           `json:"ranMillis"`        // time since it started on this worker
	Usage     fleet.Resources `json:"usage,omitzero"`   // as last reported, with some delay
	Detail    string          `json:"detail,omitempty"` // why it failed
}
