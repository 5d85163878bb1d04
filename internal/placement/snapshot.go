package placement

import "time"

// Snapshot is the input of a plan.
type Snapshot struct {
	Now     time.Time
	Started time.Time        // since when reports of usage have been collected
	Workers []Worker         // ordered by ID
	Jobs    []Job            // all that have not ended, and those that ended recently
	Usage   map[string]Usage // by task ID
	Teams   map[string]Team  // by name; an absent team has no quota
}
