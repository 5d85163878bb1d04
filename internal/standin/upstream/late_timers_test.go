package upstream

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// lateTimers is a clock in a process that does not get to run its timers.
type lateTimers struct{ *clockwork.FakeClock }

// AfterFunc implements clockwork.Clock.
func (c lateTimers) AfterFunc(time.Duration, func()) clockwork.Timer {
	return c.NewTimer(time.Hour)
}
