package jobs

import (
	"time"

	"persimmonbay/internal/placement"
)

// taskStatus is what a Controller records of one task in memory.
type taskStatus struct {
	usage           placement.Usage
	lastCalled      time.Time // when the latest call about it ended
	unansweredSince time.Time // start of the first call without a response since the latest response; zero: none
	calling         bool      // a call about it is in flight
}
