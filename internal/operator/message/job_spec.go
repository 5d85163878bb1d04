package message

import (
	"time"

	"persimmonbay/internal/fleet"
)

// JobSpec is one job as an operator submits it.
type JobSpec struct {
	ID         string          `json:"id"` // chosen by the operator; a repeat with the same ID submits nothing new
	Team       string          `json:"team"`
	Name       string          `json:"name"`
	Class      fleet.Class     `json:"class"`
	Size       fleet.Resources `json:"size"`
	RunTime    time.Duration   `json:"runTime"`           // in nanoseconds
	Deadline   time.Time       `json:"deadline,omitzero"` // zero: none
	Repeatable bool            `json:"repeatable"`        // a second start does no harm
	Work       string          `json:"work"`              // what to run; its format is defined by the worker
}
