package places

import "time"

// mean is an exponentially weighted mean. The first values count equally.
type mean struct {
	value time.Duration
	count int
}

// leastWeight is the weight of a new value once many are known.
const leastWeight = 0.05

func (m *mean) add(d time.Duration) {
	m.count++
	m.value += time.Duration(max(leastWeight, 1/float64(m.count)) * float64(d-m.value))
}
