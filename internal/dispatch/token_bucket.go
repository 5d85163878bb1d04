package dispatch

import "time"

// Limits of the rounds in which an entry sends batches to other entries. A
// burst is allowed when needs change; the sustained rate is low, to keep
// control traffic small. Urgent reports, which register with a new home or end
// a starvation, have a bucket of their own, which stays full while no entry
// joins or leaves, so that all entries can be restarted one after the other.
const (
	roundBurst         = 8.0
	settlingRoundBurst = 32.0
	roundsPerSecond    = 1.5
)

// tokenBucket limits the rate of rounds. The caller passes the time in.
type tokenBucket struct {
	capacity   float64 // tokens it can hold
	tokens     float64
	refilledAt time.Time
	unlimited  bool // every round is allowed
}

func newTokenBucket(capacity float64, now time.Time) tokenBucket {
	return tokenBucket{capacity: capacity, tokens: capacity, refilledAt: now}
}

// refill adds the tokens for the time since the last call, and reports whether
// a round is allowed.
func (b *tokenBucket) refill(now time.Time) bool {
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*roundsPerSecond, b.capacity)
	b.refilledAt = now
	return b.unlimited || b.tokens >= 1
}

// take uses one token.
func (b *tokenBucket) take() { b.tokens-- }

// removeLimit allows every round from now on. An entry that is shutting down
// has little time left to return its slots.
func (b *tokenBucket) removeLimit() { b.unlimited = true }
