package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Recorder records metrics by team and class.
type Recorder interface {
	// Waited records how long a request waited until it was started or, when
	// started is false, refused.
	Waited(team string, class fleet.Class, started bool, d time.Duration)
	// Served records how long a request that was sent took; answered is false when
	// no whole answer was received.
	Served(team string, class fleet.Class, answered bool, d time.Duration)
}
