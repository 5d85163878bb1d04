package scheduler

import "time"

// SaveItem is a job's progress that has to be saved.
type SaveItem struct {
	Job        string
	Revision   int64 // the store revision that it replaces
	Queue      string
	Progress   Progress
	AcceptedAt time.Time
	EndedAt    time.Time // zero: the course is not over
	EndSaved   bool      // its end was saved before
	Remove     bool      // the submission is no longer needed
	upTo       int64
}
