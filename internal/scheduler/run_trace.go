package scheduler

import "time"

// runTrace holds what is known of a run for the logs alone. It decides nothing.
type runTrace struct {
	clockReadAt time.Time // when the clock reading was received on which the deadline rests
	listedBy    int64     // the incarnation that last listed the run; 0: none has
}
