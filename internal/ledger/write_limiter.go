package ledger

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// writeLimiter limits a shard to its share of the store's writes: one per
// interval on average, and a burst after an idle time. Only the shard's
// committer uses it.
type writeLimiter struct {
	clock    clockwork.Clock
	interval time.Duration
	limiter  *rate.Limiter
}

func newWriteLimiter(clock clockwork.Clock, options Options) writeLimiter {
	return writeLimiter{clock: clock, interval: options.Interval, limiter: rate.NewLimiter(rate.Every(options.Interval), max(options.Burst, 1))}
}

// wait blocks until the limit allows a write.
func (l *writeLimiter) wait() {
	missing := 1 - l.limiter.TokensAt(l.clock.Now())
	if wait := time.Duration(missing * float64(l.interval)); wait > 0 {
		<-l.clock.After(wait)
	}
}

// record counts a write against the limit, also one that exceeds it.
func (l *writeLimiter) record() { l.limiter.ReserveN(l.clock.Now(), 1) }
