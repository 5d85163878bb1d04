package api

import "persimmonbay/internal/fleet"

// TaskRequest orders a worker to run a task.
type TaskRequest struct {
	Job        string          `json:"job"`
	Team       string          `json:"team"`
	Size       fleet.Resources `json:"size"`                 // what the task was given room for
	Work       string          `json:"work"`                 // what to run, in the worker's own terms
	ResumeFrom string          `json:"resumeFrom,omitempty"` // the task whose checkpoint it goes on from
}
