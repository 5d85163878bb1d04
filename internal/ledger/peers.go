package ledger

import "context"

// Peers are the other entries.
type Peers interface {
	// Live returns the IDs of the entries that seem alive, this one included.
	Live() []string
	// Forward has the entry called peer carry out operations, and returns a
	// reply to each, in order. After an error nobody knows whether it did.
	Forward(ctx context.Context, peer string, operations []Record) ([]Reply, error)
}
