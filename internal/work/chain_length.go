package work

import "time"

// chainLength is the expected time of a job's longest chain of steps.
type chainLength struct {
	whole time.Duration // of one occurrence from its start; zero: not worked out
}
