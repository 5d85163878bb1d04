package ledger

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// pacer keeps a shard to its share of the store's writes: one each interval on
// average, and up to a burst of them at once after a quiet time. It belongs to
// the shard's committer.
type pacer struct {
	clock    clockwork.Clock
	interval time.Duration
	limiter  *rate.Limiter
}

func newPacer(clock clockwork.Clock, options Options) pacer {
	return pacer{clock: clock, interval: options.Interval, limiter: rate.NewLimiter(rate.Every(options.Interval), max(options.Burst, 1))}
}

// wait returns when there is room for a write.
func (p *pacer) wait() {
	missing := 1 - p.limiter.TokensAt(p.clock.Now())
	if wait := time.Duration(missing * float64(p.interval)); wait > 0 {
		<-p.clock.After(wait)
	}
}

// wrote notes a write, whether there was room for it or not.
func (p *pacer) wrote() { p.limiter.ReserveN(p.clock.Now(), 1) }
