package scheduler

import "time"

// clockReading ties a worker's own clock to this process's steady clock.
type clockReading struct {
	at     time.Time // zero: never read
	millis int64     // the worker's clock at that time, or a little before it
}

// known reports whether the clock was ever read.
func (c clockReading) known() bool { return !c.at.IsZero() }

// least returns the least that the same clock shows at t.
func (c clockReading) least(t time.Time, timing *Timing) int64 {
	since := t.Sub(c.at)
	if since > 0 {
		since -= time.Duration(timing.ClockDrift * float64(since))
	}
	return c.millis + since.Milliseconds() - clockStep
}

// most returns the most that the same clock shows at t: the reading may have
// been on its way for as long as an order.
func (c clockReading) most(t time.Time, timing *Timing) int64 {
	return c.millis + (t.Sub(c.at) + timing.OrderTimeout).Milliseconds() + clockStep
}

// clockStep covers the rounding of two readings, in milliseconds.
const clockStep = 2

// ahead returns the time on the worker's clock up to which a lease given at now
// holds. The worker's clock may be slow, so the longer ago it was read the less
// is granted: the worker never goes on for longer than this process expects.
func (c clockReading) ahead(now time.Time, timing *Timing) int64 {
	since := now.Sub(c.at)
	doubt := time.Duration(timing.ClockDrift * float64(since))
	return c.millis + (since - doubt + timing.RunLease).Milliseconds()
}
