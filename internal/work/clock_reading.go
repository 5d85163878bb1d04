package work

import "time"

// clockReading ties a worker's own clock to this process's steady clock.
type clockReading struct {
	at     time.Time // zero: never read
	millis int64     // the worker's clock at that time, or a little before it
}

// known reports whether the clock was ever read.
func (c clockReading) known() bool { return !c.at.IsZero() }

// estimate returns what the worker's clock shows at now.
func (c clockReading) estimate(now time.Time) int64 { return c.millis + now.Sub(c.at).Milliseconds() }
