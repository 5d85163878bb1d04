package scheduler

import "time"

// durationMean is an exponentially weighted mean.
type durationMean struct {
	mean  time.Duration
	count int
}

// meanWeight is the weight of a new value once many are known.
const meanWeight = 0.05

func (m *durationMean) add(d time.Duration) {
	m.count++
	weight := max(meanWeight, 1/float64(m.count))
	m.mean += time.Duration(weight * float64(d-m.mean))
}
