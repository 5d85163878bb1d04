package worker

import "persimmonbay/internal/fleet"

// Load is what a worker has seen.
type Load struct {
	Running int             `json:"running"`
	Uses    fleet.Resources `json:"uses"`   // what the running tasks really use
	Starts  map[string]int  `json:"starts"` // tasks started, by job
}
