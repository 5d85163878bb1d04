package entry

import (
	"net/http"
	"time"

	"persimmonbay/internal/operator"
)

// Bounds of the operators' listener, to which unauthenticated clients can connect
// too.
const (
	operatorReadTimeout = time.Minute      // of a whole request; longer than any change takes
	operatorIdleTimeout = 30 * time.Second // of a connection between two requests
)

// operatorServer returns the server of the operators' address.
func (e *Entry) operatorServer() *http.Server {
	return e.guard.Protect(&http.Server{
		Handler:     operator.NewServer(e, e.metrics, e.settings.Secrets.OperatorToken, e.log).Handler(),
		ReadTimeout: operatorReadTimeout,
		IdleTimeout: operatorIdleTimeout,
	})
}
