package placement

import "time"

// Failure records that a task of a job failed on a worker.
type Failure struct {
	Worker string    `json:"worker"`
	At     time.Time `json:"at"`
}
