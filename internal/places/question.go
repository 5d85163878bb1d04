package places

import "time"

// Question is one task, or one gang, that has room on workers away from its rack.
type Question struct {
	Near     time.Duration   // expected run time in its rack
	Far      time.Duration   // expected run time elsewhere
	Learned  bool            // both rest on runs that were measured, not on the submitter's estimate
	Free     []time.Duration // when each place in the rack is expected to be free, in ascending order; 0: it is free now
	Places   int             // that it needs in the rack
	Ahead    int             // places there for which others wait already
	Pressure Pressure        // on the rack
	Waited   time.Duration   // how long it has waited so far
	Left     time.Duration   // how long its run may take, with the wait, for its job to meet its objective
	Lasting  bool            // it runs until it is cancelled
	Hopeless bool            // its job misses its objective in any case
}
