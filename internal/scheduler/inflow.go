package scheduler

import (
	"math"
	"time"
)

// inflow follows how much work comes in, in machines that it keeps busy, over
// the last while. Both sums fade with age. The pool's lock guards it.
type inflow struct {
	over    time.Duration // age at which what came in has faded to 1/e
	sum     float64       // machine-seconds that came in
	squares float64       // of the single jobs
	at      time.Time
}

// add takes in a job of work machine-seconds.
func (f *inflow) add(work float64, now time.Time) {
	f.fade(now)
	f.sum += work
	f.squares += work * work
}

func (f *inflow) fade(now time.Time) {
	if age := now.Sub(f.at); !f.at.IsZero() && age > 0 {
		left := math.Exp(-float64(age) / float64(f.over))
		f.sum *= left
		f.squares *= left * left
	}
	f.at = now
}

// sure returns how many machines what comes in keeps busy, less one standard
// deviation: a few jobs by chance say nothing of those to come.
func (f *inflow) sure(now time.Time) float64 {
	f.fade(now)
	return max(f.sum-math.Sqrt(f.squares), 0) / f.over.Seconds()
}

const (
	// quickInflow is short against a move, so that a rise is seen before what
	// waits shows it.
	quickInflow = 200 * time.Millisecond
	// steadyInflow tells the rate of queues with few large jobs.
	steadyInflow = time.Second
)
