package admission

import "time"

// estimateWeight is the weight of a new measurement in the moving mean.
const estimateWeight = 0.1

// Estimate is an exponentially weighted moving mean of service times. The zero
// value has no measurement yet.
type Estimate struct{ mean time.Duration }

// Add adds one measurement.
func (e *Estimate) Add(d time.Duration) {
	if e.mean == 0 {
		e.mean = d
		return
	}
	e.mean += time.Duration(estimateWeight * float64(d-e.mean))
}

// Or returns the mean, or other if there is no measurement yet.
func (e *Estimate) Or(other time.Duration) time.Duration {
	if e.mean == 0 {
		return other
	}
	return e.mean
}
