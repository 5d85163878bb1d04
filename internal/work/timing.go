package work

import "time"

// Timing holds the bounds that a pool keeps to. All come from the settings.
type Timing struct {
	Hold        time.Duration // how far ahead of a worker's clock its runs may go on
	MaxHold     time.Duration // the longest that a worker goes on without hearing from us
	Restart     time.Duration // how long an order stays unanswered before the run is stopped
	ClockDrift  float64       // by which share a worker's steady clock may be slow
	StartEarly  time.Duration // how long before its time an occurrence may start
	TakeOver    time.Duration // how long an earlier owner may go on after it has lost the pool
	Suspension  time.Duration // first time out of a worker that fails what it runs
	MaxSuspense time.Duration // longest time out
}

// expiry returns the time after which a lease given at sent, by an order or
// look, has surely ended on the worker's clock.
func (t *Timing) expiry(sent time.Time) time.Time {
	return sent.Add(time.Duration(float64(t.MaxHold)*(1+t.ClockDrift)) + expiryMargin)
}

// expiryMargin covers the delay of timers and the last step of a worker's clock.
const expiryMargin = 250 * time.Millisecond
