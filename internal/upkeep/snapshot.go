package upkeep

import "time"

// Snapshot is all that the next steps of a wave depend on.
type Snapshot struct {
	Wave     Wave
	Machines map[string]Machine // that the platform lists
	Empty    map[string]Emptying
	Progress Progress
	Busy     bool          // pools could use more machines than there are
	Left     time.Duration // until the wave should be over
}
