package api

import "persimmonbay/internal/fleet"

// TaskRequest orders a worker to run a task.
type TaskRequest struct {
	Job        string          `json:"job"`
	Team       string          `json:"team"`
	Size       fleet.Resources `json:"size"`                 // resources reserved for the task
	Work       string          `json:"work"`                 // what to run, in a format that only the worker interprets
	ResumeFrom string          `json:"resumeFrom,omitempty"` // ID of the task whose checkpoint it continues from
}
