package poolmanager

import "persimmonbay/internal/upkeep"

// emptyRequest is the machine controller's request to a pool to empty a machine, as
// stored.
type emptyRequest struct {
	upkeep.EmptyRequest
	revision int64 // of the request in the store
}
