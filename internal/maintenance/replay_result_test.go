package maintenance_test

import "time"

// replayResult is what a replayed wave cost.
type replayResult struct {
	rollout time.Duration // 0: it stood still for good
	moves   int           // records that came into another pool
	buffer  int           // most instances lent at once
	short   int           // most instances that a pool lacked of what its budget needs
	steps   int           // plans that changed something
	writes  int           // to the store, and reboots asked for
}
