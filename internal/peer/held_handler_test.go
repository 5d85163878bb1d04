package peer

import (
	"context"

	"persimmonbay/internal/peer/wire"
)

// heldHandler answers a configuration request once release is closed, and
// everything else at once.
type heldHandler struct {
	begun   chan struct{} // one element for each held call
	release chan struct{}
}

// Handle implements Handler.
func (h *heldHandler) Handle(ctx context.Context, r *wire.Request) (*wire.Response, error) {
	if r.GetConfiguration() != nil {
		h.begun <- struct{}{}
		select {
		case <-h.release:
		case <-ctx.Done():
		}
	}
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: &wire.Heartbeat{Entry: r.GetFrom()}}}, nil
}
