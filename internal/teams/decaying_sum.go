package teams

import (
	"math"
	"time"
)

// decayingSum sums amounts that are forgotten exponentially, with the time constant Memory.
type decayingSum struct {
	value float64
	at    time.Time
}

// add adds an amount at now, which may be negative to correct an earlier one. The sum does
// not fall below 0.
func (s *decayingSum) add(amount float64, now time.Time) { s.value = max(s.decay(now)+amount, 0) }

// decay returns the sum at now.
func (s *decayingSum) decay(now time.Time) float64 {
	if age := now.Sub(s.at); age > 0 {
		if !s.at.IsZero() {
			s.value *= math.Exp(-float64(age) / float64(Memory))
		}
		s.at = now
	}
	return s.value
}

// Memory is the time constant with which the work that a team was given is forgotten.
const Memory = 2 * time.Second
