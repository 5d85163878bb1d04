package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Usage is the state of a running task according to the platform's reports.
type Usage struct {
	ReportedAt time.Time       // when the platform last reported the task
	SilentFor  time.Duration   // how long calls about it have been without a response; zero after a response
	Ran        time.Duration   // how long the task had run at ReportedAt
	Peak       fleet.Resources // maximum of the reported usage
	// Throttled reports that the task is limited to a part of its processors.
	Throttled bool
}
