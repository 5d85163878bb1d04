package scheduler

import "time"

// Timing holds the time limits of a pool, and how racks change run times. All come from the
// settings.
type Timing struct {
	RunLease         time.Duration // lease that a poll or an order grants to runs
	MaxRunLease      time.Duration // the longest lease that a worker accepts, by its own clock
	StartTimeout     time.Duration // how long an answer to the first copy of a start is waited for, before it is sent again
	OrderTimeout     time.Duration // the same for its later copies and for other orders
	LeastTimeout     time.Duration // the shortest of these timeouts where they follow a worker's measured answer times; zero: they don't
	ClockDrift       float64       // share by which a worker's monotonic clock may be slow
	StartEarly       time.Duration // how long before its due time an occurrence may start
	StopTimeout      time.Duration // the longest time that a stop takes on the worker
	LateCalls        time.Duration // how long after it was sent a call without an answer may be carried out at most
	FormerOwnerLease time.Duration // how long a former owner may send orders after it lost the pool
	FirstSuspension  time.Duration // first suspension of a worker on which tasks of several jobs failed
	MaxSuspension    time.Duration // longest suspension of a worker
	SpreadFactor     float64       // how many times as long a task takes away from its data or its step's rack; up to 1: no task waits for a place
}

// granted returns the longest time for which a lease that an order or a poll granted
// can last, on this process's clock.
func (t *Timing) granted() time.Duration { return t.elapsed(t.RunLease) }

// longest returns the longest time for which any lease can last, on this process's
// clock, even if its deadline was computed from the clock of another incarnation.
func (t *Timing) longest() time.Duration { return t.elapsed(t.MaxRunLease) }

// elapsed returns the longest time that d on a worker's clock can take on this process's clock.
func (t *Timing) elapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.ClockDrift)) + expiryMargin
}

// expiryMargin covers the delay of timers and the resolution of a worker's clock.
const expiryMargin = 250 * time.Millisecond
