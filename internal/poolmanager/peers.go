package poolmanager

import "context"

// Peers reaches other entries.
type Peers interface {
	// Notify tells the entry at address of a change to a pool's work.
	Notify(ctx context.Context, address string, n Notice) error
}
