package intake_test

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// lateClock is the real clock, but its timers fire late.
type lateClock struct {
	clockwork.Clock
	by time.Duration
}

// After implements clockwork.Clock.
func (c lateClock) After(d time.Duration) <-chan time.Time { return c.Clock.After(d + c.by) }
