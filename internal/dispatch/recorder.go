package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Recorder keeps the measures of each team and class.
type Recorder interface {
	// Waited notes how long a request waited for its slot, or until it was
	// refused.
	Waited(team string, class fleet.Class, started bool, d time.Duration)
	// Served notes how long an upstream took.
	Served(team string, class fleet.Class, answered bool, d time.Duration)
}
