package scheduler

// Resources is an amount of what a worker offers or a task needs.
type Resources struct {
	MilliCPU     int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus returns r and s together.
func (r Resources) Plus(s Resources) Resources {
	return Resources{r.MilliCPU + s.MilliCPU, r.MemoryMB + s.MemoryMB, r.Accelerators + s.Accelerators}
}

// Minus returns what is left of r without s.
func (r Resources) Minus(s Resources) Resources {
	return Resources{r.MilliCPU - s.MilliCPU, r.MemoryMB - s.MemoryMB, r.Accelerators - s.Accelerators}
}
