package poolstore

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// JobProgress is a job's progress as read from the store.
type JobProgress struct {
	Queue    string
	Team     string // empty: none is known
	Progress scheduler.Progress
	EndedAt  time.Time // zero: not ended
	Refused  bool      // Barred is also true: the job was refused because of load; a later copy of its call may store it
	Barred   bool      // there is no such job: it was cancelled before it was stored, and must not be stored later
}
