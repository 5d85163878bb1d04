package poolstore

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// SavedState is a job's progress as read from the store.
type SavedState struct {
	Queue    string
	Progress scheduler.Progress
	EndedAt  time.Time // zero: not ended
}
