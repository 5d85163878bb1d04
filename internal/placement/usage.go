package placement

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Usage is what is known of a running task from the platform's reports.
type Usage struct {
	ReportedAt time.Time       // when the platform last reported the task
	SilentFor  time.Duration   // for how long calls about it have had no answer
	Ran        time.Duration   // how long the task had run by then
	Peak       fleet.Resources // the most it was reported to use
	// Throttled says that it uses a part of its processors only.
	Throttled bool
}
