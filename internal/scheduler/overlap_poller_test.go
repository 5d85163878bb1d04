package scheduler_test

import "time"

// overlapPoller is where one worker's poller stands, after poolmanager's poller.
type overlapPoller struct {
	worker  string
	address string
	retry   time.Duration
	idle    bool      // waits for a kick
	saving  time.Time // waits until then for progress to be saved; zero: does not
	kicked  bool
}
