package jobs

import (
	"time"

	"persimmonbay/internal/placement"
)

// track is what a Controller remembers of one task.
type track struct {
	usage placement.Usage
	tried time.Time // when the platform was last called about it
	since time.Time // of the first call without an answer since the latest with one
	busy  bool      // a call about it is under way
}
