package intake

import "persimmonbay/internal/workstore"

// foundState is a job's progress and where it is kept.
type foundState struct {
	service  string
	revision int64
	state    workstore.KeptState
}
