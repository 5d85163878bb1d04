package places

import "time"

// RunTimes holds the mean run times of tasks near their racks, by queue. Runs away from their
// rack count as shorter by the factor by which they take longer. The zero value is ready
// to use; it is not safe for concurrent use.
type RunTimes struct {
	queues map[string]*mean
}

// minSamples is the number of runs from which on their mean is used.
const minSamples = 5

// Add adds the time of a run; factor is 1 if it was near its rack.
func (r *RunTimes) Add(queue string, took time.Duration, factor float64) {
	if r.queues == nil {
		r.queues = make(map[string]*mean)
	}
	m := r.queues[queue]
	if m == nil {
		m = &mean{}
		r.queues[queue] = m
	}
	m.add(time.Duration(float64(took) / max(factor, 1)))
}

// Near returns the expected run time near the rack, and whether it was learned: it is the
// estimate otherwise.
func (r *RunTimes) Near(queue string, estimate time.Duration) (expected time.Duration, learned bool) {
	if m := r.queues[queue]; m != nil && m.count >= minSamples {
		return m.value, true
	}
	return estimate, false
}
