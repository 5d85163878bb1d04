package replay

import "persimmonbay/internal/fleet"

// runner is the model of one upstream: every request takes its own time, and
// more than its slots are refused.
type runner struct {
	instance fleet.Instance
	slots    int
	atWork   int
	most     int
	refused  int
	dead     bool
}
