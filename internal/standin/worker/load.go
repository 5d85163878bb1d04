package worker

import "persimmonbay/internal/fleet"

// Load is what a worker does and has done.
type Load struct {
	Running map[string]fleet.Resources `json:"running"` // what tasks really use, by job
	Starts  map[string]int             `json:"starts"`  // tasks started, by job
}

// Uses returns what all running tasks really use.
func (l Load) Uses() fleet.Resources {
	var sum fleet.Resources
	for _, r := range l.Running {
		sum = sum.Plus(r)
	}
	return sum
}
