package placement

import "persimmonbay/internal/fleet"

// capacity holds the free resources and the tasks of one worker during a plan.
type capacity struct {
	worker       *Worker
	acceptsTasks bool            // whether it may get new tasks
	free         fleet.Resources // not in use now
	projected    fleet.Resources // free once the leaving tasks have left, less what is reserved for waiting jobs
	occupants    []occupant
}

// fits reports whether size is free now and not reserved for a waiting job.
func (c *capacity) fits(size fleet.Resources) bool {
	return size.Within(c.free) && size.Within(c.projected)
}

func (c *capacity) reserve(size fleet.Resources) {
	c.free, c.projected = c.free.Minus(size), c.projected.Minus(size)
}
