package dispatch

import "time"

// Bounds of the rounds in which an entry tells homes of its needs: some at
// once when things change, few in the long run, to keep control traffic small.
const (
	roundsAtOnce    = 8.0
	roundsPerSecond = 1.5
)

// allowance is a token bucket of rounds in a time that is passed in.
type allowance struct {
	tokens float64
	at     time.Time
}

// fill adds what the time since the last call has earned, and reports whether
// a round is allowed.
func (a *allowance) fill(now time.Time) bool {
	a.tokens = min(a.tokens+now.Sub(a.at).Seconds()*roundsPerSecond, roundsAtOnce)
	a.at = now
	return a.tokens >= 1
}

func (a *allowance) take() { a.tokens-- }
