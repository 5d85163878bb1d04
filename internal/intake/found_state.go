package intake

import "persimmonbay/internal/poolstore"

// foundState is a job's progress and where it is stored.
type foundState struct {
	service  string
	revision int64
	state    poolstore.SavedState
}
