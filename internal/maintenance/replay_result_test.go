package maintenance_test

import "time"

// replayResult holds the measured values of a replayed wave.
type replayResult struct {
	rollout time.Duration // 0: the wave did not end within replayLimit
	moves   int           // changes of a record to another pool
	buffer  int           // most instances lent at once
	short   int           // most instances that a pool had below what its budget requires
	steps   int           // plans that changed something
	writes  int           // to the store, and requested reboots
}
