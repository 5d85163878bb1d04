package quota_test

import (
	"math/rand/v2"
	"time"

	"persimmonbay/internal/quota"
)

// simStore holds the account of one team. It loses the responses to writes, applies some
// of them seconds later, and is away at times.
type simStore struct {
	rng      *rand.Rand
	account  quota.Account
	revision int64
	late     []func(now time.Time) bool // writes without a response: true once they are over
	awayTo   time.Time
	lossy    float64
}

// tick applies writes without a response.
func (s *simStore) tick(now time.Time) {
	kept := s.late[:0]
	for _, apply := range s.late {
		if !apply(now) {
			kept = append(kept, apply)
		}
	}
	s.late = kept
}

// write applies a proposal under its conditions: the account's revision, and that the
// writer owns the pool. It reports whether the writer learns the outcome.
func (s *simStore) write(p quota.Proposal, owns func() bool, now time.Time) (told bool) {
	apply := func() {
		if p.Revision == s.revision && owns() {
			s.account, s.revision = p.Account, s.revision+1
		}
	}
	if now.Before(s.awayTo) {
		return false
	}
	if s.rng.Float64() >= s.lossy {
		apply()
		return true
	}
	at := now.Add(time.Duration(s.rng.IntN(3000)) * time.Millisecond)
	if s.rng.IntN(2) == 0 {
		at = now
	}
	s.late = append(s.late, func(now time.Time) bool {
		if now.Before(at) {
			return false
		}
		apply()
		return true
	})
	return false
}
