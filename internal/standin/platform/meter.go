package platform

import (
	"net/http"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/shard"
)

// meter counts calls and refuses those above the allowed rates. The counts, the
// rates and each token bucket have a lock of their own.
type meter struct {
	clock  clockwork.Clock
	calls  *shard.Cell[Calls]
	rates  *shard.Cell[Rates]
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newMeter(clock clockwork.Clock) *meter {
	return &meter{
		clock:  clock,
		calls:  shard.NewCell(Calls{}),
		rates:  shard.NewCell(Rates{}),
		reads:  rate.NewLimiter(rate.Inf, 0),
		writes: rate.NewLimiter(rate.Inf, 0),
	}
}

// set changes the allowed rates. Each token bucket holds the calls of one second.
func (m *meter) set(r Rates) {
	m.rates.Update(func(Rates) (Rates, bool) { return r, true })
	limit(m.reads, r.Reads)
	limit(m.writes, r.Writes)
}

func limit(l *rate.Limiter, perSecond int) {
	if perSecond <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(perSecond)
}

func (m *meter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !m.admit(r) {
			write(w, http.StatusTooManyRequests, api.ErrorResponse{Error: "more calls per second than allowed"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// admit counts the call and reports whether it is within the allowed rate.
func (m *meter) admit(r *http.Request) bool {
	bucket := m.reads
	if r.Method != http.MethodGet {
		bucket = m.writes
	}
	allowed := bucket.AllowN(m.clock.Now(), 1)
	m.calls.Update(func(c Calls) (Calls, bool) { return c.with(r, allowed), true })
	return allowed
}
