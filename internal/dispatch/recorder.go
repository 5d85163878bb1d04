package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Recorder records metrics by team and class.
type Recorder interface {
	// RecordWait records how long a request waited until it was started or, when
	// started is false, refused.
	RecordWait(team string, class fleet.Class, started bool, d time.Duration)
	// RecordServed records how long a request that was sent took; answered is false
	// when no whole answer was received.
	RecordServed(team string, class fleet.Class, answered bool, d time.Duration)
}
