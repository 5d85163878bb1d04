package entry

import (
	"context"
	"net/http"
	"time"
)

// maxHeaderBytes bounds the header of a caller's or operator's request.
const maxHeaderBytes = 64 << 10

// operatorsTimeout bounds what operators' requests in flight may take at the
// end.
const operatorsTimeout = 2 * time.Second

// drain waits for the balancer to notice and then for requests in flight.
func (e *Entry) drain(callers *http.Server) error {
	e.health.Update(func(h health) (health, bool) { h.leaving = true; return h, true })
	e.log.Info("leaving")
	<-e.clock.After(e.settings.Limits.ShutdownNotice)
	ctx, cancel := context.WithTimeout(context.Background(), e.drainTimeout())
	defer cancel()
	return callers.Shutdown(ctx)
}

// drainTimeout is long enough for a request of any service that names no
// timeout of its own.
func (e *Entry) drainTimeout() time.Duration {
	timeout := e.settings.Limits.ShutdownTimeout
	if c := e.inForce.Get().Configuration; c != nil {
		for i := range c.Services {
			timeout = max(timeout, c.Services[i].Timeout+time.Second)
		}
	}
	return timeout
}

// tellClosing has callers close their connections once this entry is leaving.
func (e *Entry) tellClosing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.health.Get().leaving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// closeOperators lets operators' requests end that are in flight.
func closeOperators(operators *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorsTimeout)
	defer cancel()
	if operators.Shutdown(ctx) != nil {
		_ = operators.Close()
	}
}
