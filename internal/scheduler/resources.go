package scheduler

import "math"

// Resources is an amount of each resource, offered by a worker or needed by a task.
type Resources struct {
	MilliCPU     int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// Fits reports whether r is at most free in each resource.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus returns the sum of r and s.
func (r Resources) Plus(s Resources) Resources {
	return Resources{r.MilliCPU + s.MilliCPU, r.MemoryMB + s.MemoryMB, r.Accelerators + s.Accelerators}
}

// Minus returns r less s. Amounts may become negative.
func (r Resources) Minus(s Resources) Resources {
	return Resources{r.MilliCPU - s.MilliCPU, r.MemoryMB - s.MemoryMB, r.Accelerators - s.Accelerators}
}

// times returns r n times.
func (r Resources) times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// timesIn returns how many times r fits in free: without bound if r is nothing.
func (r Resources) timesIn(free Resources) int {
	n := math.MaxInt
	for _, part := range [...][2]int{{r.MilliCPU, free.MilliCPU}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators}} {
		if need, have := part[0], part[1]; need > 0 {
			n = min(n, max(have, 0)/need)
		}
	}
	return n
}
