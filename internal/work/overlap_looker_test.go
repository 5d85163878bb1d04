package work_test

import "time"

// overlapLooker is where one worker's looker stands, after keeper's looker.
type overlapLooker struct {
	worker  string
	address string
	retry   time.Duration
	idle    bool      // waits for a kick
	saving  time.Time // waits until then for progress to be kept; zero: does not
	kicked  bool
}
