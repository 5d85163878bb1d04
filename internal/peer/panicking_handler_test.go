package peer

import (
	"context"

	"persimmonbay/internal/peer/wire"
)

// panickingHandler answers heartbeats and panics at all other calls.
type panickingHandler struct{}

// Handle implements Handler.
func (panickingHandler) Handle(_ context.Context, r *wire.Request) (*wire.Response, error) {
	if r.GetHeartbeat() == nil {
		panic("a call that nobody expects")
	}
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: &wire.Heartbeat{}}}, nil
}
