package scheduler

import "time"

// Timing holds the bounds that a pool keeps to. All come from the settings.
type Timing struct {
	RunLease         time.Duration // how far ahead of a worker's clock its runs may go on
	MaxRunLease      time.Duration // the longest that a worker lets a lease go on, by its own clock
	OrderTimeout     time.Duration // how long an order stays unanswered before the run is stopped
	ClockDrift       float64       // by which share a worker's steady clock may be slow
	StartEarly       time.Duration // how long before its time an occurrence may start
	StopTimeout      time.Duration // the longest that a stop takes
	FormerOwnerLease time.Duration // how long an earlier owner may go on after it has lost the pool
	FirstSuspension  time.Duration // first time out of a worker that fails what it runs
	MaxSuspension    time.Duration // longest time out
}

// granted is the longest time for which a lease given by an order or a poll
// goes on, in this process's time.
func (t *Timing) granted() time.Duration { return t.elapsed(t.RunLease) }

// longest is the longest time for which any lease goes on, in this process's
// time, whatever clock its deadline was meant for.
func (t *Timing) longest() time.Duration { return t.elapsed(t.MaxRunLease) }

// elapsed is how long a time on a worker's clock may take.
func (t *Timing) elapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.ClockDrift)) + expiryMargin
}

// expiryMargin covers the delay of timers and the last step of a worker's clock.
const expiryMargin = 250 * time.Millisecond
