package worker

import "persimmonbay/internal/fleet"

// Load is the present usage of a worker and the number of tasks it has started.
type Load struct {
	Running map[string]fleet.Resources `json:"running"` // actual usage of the running tasks, by job
	Starts  map[string]int             `json:"starts"`  // number of tasks started, by job
}

// Uses returns the actual usage of all running tasks.
func (l Load) Uses() fleet.Resources {
	var sum fleet.Resources
	for _, r := range l.Running {
		sum = sum.Plus(r)
	}
	return sum
}
