package quota

// Amount is an amount of each resource.
type Amount struct {
	MilliCPU     int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// combine returns the results of f for each resource of a and b.
func combine(a, b Amount, f func(a, b int) int) Amount {
	return Amount{f(a.MilliCPU, b.MilliCPU), f(a.MemoryMB, b.MemoryMB), f(a.Accelerators, b.Accelerators)}
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return combine(a, b, func(x, y int) int { return x + y })
}

// Minus returns a less b. Amounts may become negative.
func (a Amount) Minus(b Amount) Amount {
	return combine(a, b, func(x, y int) int { return x - y })
}

// Times returns a n times.
func (a Amount) Times(n int) Amount {
	return combine(a, a, func(x, _ int) int { return x * n })
}

// Max returns the greater amount of each resource.
func (a Amount) Max(b Amount) Amount {
	return combine(a, b, func(x, y int) int { return max(x, y) })
}

// Min returns the smaller amount of each resource.
func (a Amount) Min(b Amount) Amount {
	return combine(a, b, func(x, y int) int { return min(x, y) })
}

// Within reports whether a is at most limit in each resource that cap limits: those of
// which it is above 0.
func (a Amount) Within(limit, cap Amount) bool {
	return (cap.MilliCPU <= 0 || a.MilliCPU <= limit.MilliCPU) &&
		(cap.MemoryMB <= 0 || a.MemoryMB <= limit.MemoryMB) &&
		(cap.Accelerators <= 0 || a.Accelerators <= limit.Accelerators)
}

// Limits reports whether the amount, as a cap, limits any resource.
func (a Amount) Limits() bool { return a.MilliCPU > 0 || a.MemoryMB > 0 || a.Accelerators > 0 }
