package poolmanager

import "time"

// inTransit is a machine whose move into a pool was ordered.
type inTransit struct {
	target  string    // service of the new pool
	ordered time.Time // when the order was sent
	arrived time.Time // when the platform first listed it there; zero: not yet
	joined  bool      // its new pool counts it among its workers
}
