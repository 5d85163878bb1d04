package peer

import (
	"context"
	"sync/atomic"

	"persimmonbay/internal/peer/wire"
)

// slowFirstHandler answers each heartbeat with its configuration version. It
// blocks the first call until release is closed.
type slowFirstHandler struct {
	calls   atomic.Int64
	release chan struct{}
}

// Handle implements Handler.
func (h *slowFirstHandler) Handle(ctx context.Context, r *wire.Request) (*wire.Response, error) {
	if h.calls.Add(1) == 1 {
		select {
		case <-h.release:
		case <-ctx.Done():
		}
	}
	version := r.GetHeartbeat().GetConfigurationVersion()
	return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: &wire.Heartbeat{ConfigurationVersion: version}}}, nil
}
