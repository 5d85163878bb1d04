package placement

import "time"

// Snapshot is everything a plan follows from.
type Snapshot struct {
	Now     time.Time
	Started time.Time        // since when the usage has been followed
	Workers []Worker         // ordered by ID
	Jobs    []Job            // those that have not ended, and those that ended of late
	Usage   map[string]Usage // by task
	Teams   map[string]Team  // by name; a team that is absent may run nothing
}
