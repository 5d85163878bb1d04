package guard

import (
	"context"
	"net"
	"net/http"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/readbudget"
)

// Guard bounds what the clients of all listeners of a process make it hold.
type Guard struct {
	budget *readbudget.Budget
	limits func() readbudget.Limits
	clock  clockwork.Clock
	events *events
}

// New returns a guard with a budget of so many bytes. limits is asked whenever a limit matters,
// so that it may change.
func New(bytes int64, limits func() readbudget.Limits, clock clockwork.Clock, log *zap.Logger) *Guard {
	return &Guard{budget: readbudget.New(bytes), limits: func() readbudget.Limits { return limits().WithDefaults() }, clock: clock, events: newEvents(clock, log)}
}

// Counts returns how many connections were given up, by cause, and the bytes held now.
func (g *Guard) Counts() map[string]int64 {
	counts := g.events.counts()
	counts["heldBytes"] = g.budget.Held()
	return counts
}

// Listener returns a listener that accepts from l and has at most so many connections open.
func (g *Guard) Listener(l net.Listener, most int) net.Listener {
	return &listener{Listener: l, guard: g, places: g.budget.Places(most), closed: make(chan struct{})}
}

// maxHeadBytes bounds heads in net/http. The limit in force, which may be changed while the
// server runs, is that of the guard.
const maxHeadBytes = 1 << 20

// Protect has s, which serves a Listener of this guard, report its requests.
func (g *Guard) Protect(s *http.Server) *http.Server {
	s.MaxHeaderBytes = maxHeadBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok && state == http.StateIdle {
			guarded.account.Done(g.clock.Now())
		}
	}
	s.Handler = handler(s.Handler)
	return s
}
