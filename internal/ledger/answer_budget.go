package ledger

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonbay/internal/request"
)

// answerLifetime is how long the store holds an answer at most: until its key,
// made by a clock that is ahead, is refused, and the life of the lease that
// it shares with answers kept later.
const answerLifetime = request.KeySkew + request.KeyRetention + dropMargin + AnswerLeaseUse

// AnswerLeaseUse is how long answers are bound to one lease.
const AnswerLeaseUse = time.Minute

// AnswerTTL is how long a lease lasts that answers are bound to: none goes
// before its key is refused everywhere.
const AnswerTTL = answerLifetime

// Bursts of an entry.
const (
	answerBurstWrites = 16
	answerBurstShare  = 4 // part of the entry's share of the bytes
)

// answerBudget is one entry's share of the store that the fleet's large
// answers may take. mu guards all fields: at no time do the answers kept
// within a lifetime come to more than share bytes, as long as live holds.
type answerBudget struct {
	mu     sync.Mutex
	total  float64 // bytes of the fleet in the store
	rate   float64 // writes a second of the fleet
	live   int     // entries that share the two
	bytes  *rate.Limiter
	writes *rate.Limiter
}

func newAnswerBudget(options Options, now time.Time) *answerBudget {
	b := &answerBudget{total: float64(options.AnswerBytes), rate: options.AnswerWrites,
		bytes: rate.NewLimiter(0, options.AnswerBytes/answerBurstShare), writes: rate.NewLimiter(0, answerBurstWrites)}
	b.divide(now, 1)
	return b
}

// spend takes one answer of n bytes off the budget, or reports that there is
// not enough.
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

// divide sets this entry's share. mu is held, but for the first time.
func (b *answerBudget) divide(now time.Time, live int) {
	b.live = live
	share := b.total / float64(live)
	burst := share / answerBurstShare
	b.bytes.SetBurstAt(now, int(burst))
	b.bytes.SetLimitAt(now, rate.Limit((share-burst)/answerLifetime.Seconds()))
	b.writes.SetLimitAt(now, rate.Limit(b.rate/float64(live)))
}
