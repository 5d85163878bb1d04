package intake

import "persimmonbay/internal/poolstore"

// foundState is a job's stored progress, with the service and the revision under
// which it is stored.
type foundState struct {
	service  string
	revision int64
	state    poolstore.JobProgress
	hidden   bool // the job exists, but not for this caller
}
