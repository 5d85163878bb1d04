package answertime

import "time"

// Estimate is the smoothed mean of answer times and their smoothed mean deviation. The
// zero value has no samples.
type Estimate struct {
	mean, deviation time.Duration
	known           bool
}

// Weights of a new sample, and the deviations that a bound lies above the mean, as in RFC 6298.
const (
	meanShare      = 8
	deviationShare = 4
	deviations     = 4
)

// Add adds the answer time of one call.
func (e *Estimate) Add(took time.Duration) {
	took = max(took, 0)
	if !e.known {
		e.mean, e.deviation, e.known = took, took/2, true
		return
	}
	e.deviation += ((e.mean - took).Abs() - e.deviation) / deviationShare
	e.mean += (took - e.mean) / meanShare
}

// Known reports whether there are samples.
func (e *Estimate) Known() bool { return e.known }

// Bound returns a time within which nearly all answers arrive; 0 without samples.
func (e *Estimate) Bound() time.Duration { return e.mean + deviations*e.deviation }
