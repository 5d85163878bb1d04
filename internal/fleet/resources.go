package fleet

// Resources are amounts of processors, memory and accelerators that a job needs,
// a worker has or a quota allows.
type Resources struct {
	MilliCores   int `json:"milliCores,omitempty" yaml:"milliCores" validate:"gte=0"` // thousandths of a processor
	MemoryMB     int `json:"memoryMB,omitempty" yaml:"memoryMB" validate:"gte=0"`     // megabytes
	Accelerators int `json:"accelerators,omitempty" yaml:"accelerators" validate:"gte=0"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference of r and o. Its amounts may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the maximum of r and o in each amount.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the minimum of r and o in each amount.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCores, o.MilliCores), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Within reports whether no amount of r exceeds that of limit.
func (r Resources) Within(limit Resources) bool {
	return r.MilliCores <= limit.MilliCores && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// Share returns the largest ratio of an amount of r to the same amount of total.
// The ratio of a positive amount to zero counts as 1.
func (r Resources) Share(total Resources) float64 {
	return max(share(r.MilliCores, total.MilliCores), share(r.MemoryMB, total.MemoryMB), share(r.Accelerators, total.Accelerators))
}

func share(part, total int) float64 {
	switch {
	case part <= 0:
		return 0
	case total <= 0:
		return 1
	}
	return float64(part) / float64(total)
}
