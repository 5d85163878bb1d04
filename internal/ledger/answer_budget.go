package ledger

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonbay/internal/request"
)

// answerLifetime is the longest time for which an answer is in the store. It
// lasts until its key expires, even if a clock that is ahead created the key,
// and until the lease ends that it shares with answers written later.
const answerLifetime = request.KeySkew + request.KeyRetention + dropMargin + AnswerLeaseReuse

// AnswerLeaseReuse is how long new answers are bound to the same lease.
const AnswerLeaseReuse = time.Minute

// AnswerTTL is the TTL of a lease that answers are bound to. No answer is
// removed before every entry rejects its key as expired.
const AnswerTTL = answerLifetime

// Limits of the bursts of one entry.
const (
	answerBurstWrites = 16
	answerBurstShare  = 4 // a burst has at most 1/4 of the entry's share of the bytes
)

// answerBudget is one entry's share of the store capacity for the fleet's large
// answers. mu guards all fields. While the number of live entries is constant,
// the answers written within any answerLifetime have at most total/live bytes.
type answerBudget struct {
	mu     sync.Mutex
	total  float64 // bytes in the store, of all entries
	rate   float64 // writes per second, of all entries
	live   int     // entries among which total and rate are divided
	bytes  *rate.Limiter
	writes *rate.Limiter
}

func newAnswerBudget(options Options, now time.Time) *answerBudget {
	b := &answerBudget{total: float64(options.AnswerBytes), rate: options.AnswerWrites,
		bytes: rate.NewLimiter(0, options.AnswerBytes/answerBurstShare), writes: rate.NewLimiter(0, answerBurstWrites)}
	b.divide(now, 1)
	return b
}

// spend deducts one answer of n bytes from the budget. It returns false, and
// deducts nothing, when the budget does not suffice.
func (b *answerBudget) spend(now time.Time, n, live int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if live != b.live {
		b.divide(now, max(live, 1))
	}
	if b.bytes.TokensAt(now) < float64(n) || b.writes.TokensAt(now) < 1 {
		return false
	}
	return b.bytes.AllowN(now, n) && b.writes.AllowN(now, 1)
}

// divide sets this entry's share of the budget. The caller holds mu, except in
// newAnswerBudget.
func (b *answerBudget) divide(now time.Time, live int) {
	b.live = live
	share := b.total / float64(live)
	burst := share / answerBurstShare
	b.bytes.SetBurstAt(now, int(burst))
	b.bytes.SetLimitAt(now, rate.Limit((share-burst)/answerLifetime.Seconds()))
	b.writes.SetLimitAt(now, rate.Limit(b.rate/float64(live)))
}
