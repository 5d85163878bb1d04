package dispatch

import "time"

// Bounds of the rounds in which an entry tells homes of its needs: some at
// once when things change, few in the long run, to keep control traffic small.
// Rounds that settle a new home or end a starvation have an allowance of their
// own, which is full until entries come and go: all may be restarted in turn.
const (
	roundsAtOnce         = 8.0
	settlingRoundsAtOnce = 32.0
	roundsPerSecond      = 1.5
)

// allowance is a token bucket of rounds in a time that is passed in.
type allowance struct {
	most   float64 // tokens at once
	tokens float64
	at     time.Time
	lifted bool // every round is allowed from now on
}

func newAllowance(most float64, now time.Time) allowance {
	return allowance{most: most, tokens: most, at: now}
}

// fill adds what the time since the last call has earned, and reports whether
// a round is allowed.
func (a *allowance) fill(now time.Time) bool {
	a.tokens = min(a.tokens+now.Sub(a.at).Seconds()*roundsPerSecond, a.most)
	a.at = now
	return a.lifted || a.tokens >= 1
}

func (a *allowance) take() { a.tokens-- }

// lift ends the bound, for an entry that has little time left.
func (a *allowance) lift() { a.lifted = true }
