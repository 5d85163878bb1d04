package scheduler

import (
	"math"
	"time"
)

// arrivalRate estimates how many machines the jobs that arrive keep busy. It sums the
// work of recent jobs, weighted by an exponential decay with age. The pool's lock
// guards it.
type arrivalRate struct {
	window     time.Duration // age at which the weight of a job is 1/e
	sum        float64       // weighted work, in machine-seconds
	squaredSum float64       // weighted squares of the work of each job
	decayedAt  time.Time
}

// add counts a job of work machine-seconds that arrived at now.
func (a *arrivalRate) add(work float64, now time.Time) {
	a.decay(now)
	a.sum += work
	a.squaredSum += work * work
}

func (a *arrivalRate) decay(now time.Time) {
	if age := now.Sub(a.decayedAt); !a.decayedAt.IsZero() && age > 0 {
		factor := math.Exp(-float64(age) / float64(a.window))
		a.sum *= factor
		a.squaredSum *= factor * factor
	}
	a.decayedAt = now
}

// lowerBound returns how many machines the arriving jobs keep busy, less one standard
// deviation, so that a few jobs which happen to arrive together do not raise it.
func (a *arrivalRate) lowerBound(now time.Time) float64 {
	a.decay(now)
	return max(a.sum-math.Sqrt(a.squaredSum), 0) / a.window.Seconds()
}

const (
	// shortArrivalWindow is short compared with the time that a machine takes to move
	// between pools, so that a rise shows before the queue of waiting tasks grows.
	shortArrivalWindow = 200 * time.Millisecond
	// longArrivalWindow is long enough to estimate the rate of queues with few large jobs.
	longArrivalWindow = time.Second
)
