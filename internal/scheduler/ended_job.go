package scheduler

import "time"

// endedJob is a job that was removed from its pool after its end.
type endedJob struct {
	id        string
	removedAt time.Time
}
