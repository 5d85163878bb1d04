package workstore

import (
	"time"

	"persimmonbay/internal/work"
)

// SavedState is a job's progress as read from the store.
type SavedState struct {
	Queue    string
	Progress work.Progress
	EndedAt  time.Time // zero: not ended
}
