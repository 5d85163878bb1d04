package poolmanager

import "time"

// inTransit is a machine that was ordered into a pool.
type inTransit struct {
	target  string
	ordered time.Time
	arrived time.Time // when it was first listed there; zero: not yet
	joined  bool      // its pool works with it by now
}
