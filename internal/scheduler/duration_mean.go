package scheduler

import "time"

// durationMean is an exponentially weighted moving average. The first values are
// weighted equally.
type durationMean struct {
	mean  time.Duration
	count int
}

// minMeanWeight is the weight of a new value once many are known.
const minMeanWeight = 0.05

func (m *durationMean) add(d time.Duration) {
	m.count++
	weight := max(minMeanWeight, 1/float64(m.count))
	m.mean += time.Duration(weight * float64(d-m.mean))
}
