package entry

import (
	"context"
	"net/http"
	"time"
)

// maxHeaderBytes bounds the header of a caller's or operator's request.
const maxHeaderBytes = 64 << 10

// operatorDrainTimeout bounds the wait for operators' requests in flight at
// shutdown.
const operatorDrainTimeout = 2 * time.Second

// drain reports this entry as leaving, waits until the load balancer sends no new
// connections, and then for the requests in flight.
func (e *Entry) drain(callers *http.Server) error {
	e.health.Update(func(h health) (health, bool) { h.leaving = true; return h, true })
	e.log.Info("leaving")
	<-e.clock.After(e.settings.Limits.ShutdownNotice)
	ctx, cancel := context.WithTimeout(context.Background(), e.drainTimeout())
	defer cancel()
	return callers.Shutdown(ctx)
}

// drainTimeout returns a timeout that suffices for a request to any service, if
// the caller sets no timeout.
func (e *Entry) drainTimeout() time.Duration {
	timeout := e.settings.Limits.ShutdownTimeout
	if c := e.inForce.Get().Configuration; c != nil {
		for i := range c.Services {
			timeout = max(timeout, c.Services[i].Timeout+time.Second)
		}
	}
	return timeout
}

// closeConnectionsWhenLeaving makes callers close their connections once this
// entry is leaving.
func (e *Entry) closeConnectionsWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.health.Get().leaving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// closeOperators shuts the operators' server down after the requests in flight,
// within operatorDrainTimeout.
func closeOperators(operators *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorDrainTimeout)
	defer cancel()
	if operators.Shutdown(ctx) != nil {
		_ = operators.Close()
	}
}
