package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Observation is the platform's report of the task of a job's latest attempt.
type Observation struct {
	Task   string
	State  fleet.TaskState
	Usage  fleet.Resources
	Ran    time.Duration
	Detail string
}
