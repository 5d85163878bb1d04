package latecalls

import "time"

// activeRun is a run at work on an incarnation.
type activeRun struct {
	*taskRun
	finish   *time.Timer // ends it as done
	stopping bool
}
