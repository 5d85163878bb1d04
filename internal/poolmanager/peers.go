package poolmanager

import "context"

// Peers sends messages to other entries.
type Peers interface {
	// Notify sends a notice to the entry at address and waits for its response.
	Notify(ctx context.Context, address string, n Notice) error
}
