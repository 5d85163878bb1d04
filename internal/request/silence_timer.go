package request

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// A timer that fires later than pauseTolerance shows that this process was paused or
// delayed. It is extended by the silence limit divided by extensionDivisor.
const (
	pauseTolerance   = 10 * time.Millisecond
	extensionDivisor = 4
)

// silenceTimer measures how long the latest attempt at a request has had no answer.
// Its methods are called by one goroutine.
type silenceTimer struct {
	clock    clockwork.Clock
	timer    clockwork.Timer
	limit    time.Duration
	due      time.Time // when the timer is to fire
	extended bool      // after a pause, since the latest restart
}

func newSilenceTimer(clock clockwork.Clock, limit time.Duration) *silenceTimer {
	return &silenceTimer{clock: clock, timer: clock.NewTimer(limit), limit: limit, due: clock.Now().Add(limit)}
}

// restart starts the timer for a new attempt.
func (t *silenceTimer) restart() {
	t.extended = false
	t.set(t.limit)
}

// passed is called when the timer has fired, and reports whether the attempt counts
// as silent. If this process was paused, the answer may have arrived and not been
// read; then passed extends the timer, once, and returns false.
func (t *silenceTimer) passed() bool {
	if t.extended || t.clock.Since(t.due) <= pauseTolerance {
		return true
	}
	t.extended = true
	t.set(t.limit / extensionDivisor)
	return false
}

func (t *silenceTimer) set(d time.Duration) {
	t.due = t.clock.Now().Add(d)
	t.timer.Reset(d)
}
