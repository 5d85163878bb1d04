package workstore

import (
	"time"

	"persimmonbay/internal/work"
)

// KeptState is a job's progress as read from the store.
type KeptState struct {
	Queue    string
	Progress work.Progress
	EndedAt  time.Time // zero: not ended
}
