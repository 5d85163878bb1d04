package ledger

import "context"

// Peers gives access to the other entries.
type Peers interface {
	// Live returns the IDs of the entries that appear to be alive, including this
	// one.
	Live() []string
	// Forward sends operations to the entry with the ID peer and returns a reply
	// to each, in order. After an error it is unknown whether they were executed.
	Forward(ctx context.Context, peer string, operations []Record) ([]Reply, error)
}
