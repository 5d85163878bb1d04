package scheduler

import "time"

// clockReading relates a worker's clock to this process's monotonic clock.
type clockReading struct {
	readAt time.Time // on this process's clock; zero: never read
	millis int64     // what the worker's clock showed at readAt, or shortly before
}

// known reports whether the worker's clock was ever read.
func (c clockReading) known() bool { return !c.readAt.IsZero() }

// minMillis returns the lowest value that the same clock can show at t.
func (c clockReading) minMillis(t time.Time, timing *Timing) int64 {
	age := t.Sub(c.readAt)
	if age > 0 {
		age -= time.Duration(timing.ClockDrift * float64(age))
	}
	return c.millis + age.Milliseconds() - clockRoundingMillis
}

// maxMillis returns the highest value that the same clock can show at t. The
// reading can have been in transit for as long as a poll waits for its reply.
func (c clockReading) maxMillis(t time.Time, timing *Timing) int64 {
	return c.millis + (t.Sub(c.readAt) + timing.longestReplyTimeout()).Milliseconds() + clockRoundingMillis
}

// clockRoundingMillis covers the rounding of two readings to whole milliseconds.
const clockRoundingMillis = 2

// leaseDeadline returns when a lease granted at now expires, in milliseconds on the
// worker's clock. The worker's clock may be slow, so the older the reading, the
// shorter the lease: the worker never goes on for longer than this process expects.
func (c clockReading) leaseDeadline(now time.Time, timing *Timing) int64 {
	age := now.Sub(c.readAt)
	maxDrift := time.Duration(timing.ClockDrift * float64(age))
	return c.millis + (age - maxDrift + timing.RunLease).Milliseconds()
}
