package scheduler

import "time"

// SaveItem is the progress of one job that has to be saved. It holds the job's changes
// up to sequence number upTo.
type SaveItem struct {
	Job        string
	Revision   int64 // the store revision that the write replaces
	Queue      string
	Team       string // that the job was accepted for
	Progress   Progress
	AcceptedAt time.Time
	EndedAt    time.Time // zero: the job has not ended
	EndSaved   bool      // the job's end was saved before
	Remove     bool      // the submission is to be removed with the write
	upTo       int64
}
