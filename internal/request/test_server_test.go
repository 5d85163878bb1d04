package request

import (
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
)

// newTestServer returns a server of the service tags with the silence limit of the
// tests.
func newTestServer(clock clockwork.Clock, dispatcher Dispatcher, sender Sender) *Server {
	inForce := configuration.NewInForce()
	inForce.SetIfNewer(configuration.Versioned{Version: 1, Configuration: &configuration.Configuration{
		Teams:    []configuration.Team{{Name: "herders", TopClass: fleet.Urgent}},
		Services: []configuration.Service{{Name: "tags", Timeout: time.Hour, SilenceLimit: silenceLimit}},
	}})
	return &Server{InForce: inForce, Dispatcher: dispatcher, Sender: sender, Ledger: grantingLedger{}, RetryBudget: NewRetryBudget(RetryShare), Clock: clock}
}
