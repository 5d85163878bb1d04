package poolmanager

import "time"

// emptyRequest is the machine controller's request to a pool to empty a machine.
type emptyRequest struct {
	revision int64     // of the request in the store
	by       time.Time // the upkeep that follows should be over then
	emptied  bool      // the pool has confirmed that the machine is empty
}
