package peer

import (
	"context"

	"persimmonbay/internal/peer/wire"
)

// blockingHandler blocks configuration requests until release is closed, and
// answers all others at once.
type blockingHandler struct {
	started chan struct{} // receives one element for each blocked call
	release chan struct{}
}

// Handle implements Handler.
func (h *blockingHandler) Handle(ctx context.Context, r *wire.Request) (*wire.Response, error) {
	if r.GetConfiguration() != nil {
		h.started <- struct{}{}
		select {
		case <-h.release:
		case <-ctx.Done():
		}
	}
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: &wire.Heartbeat{Entry: r.GetFrom()}}}, nil
}
