package placement

import "time"

// Attempt is one start of a job. Its task ID is unique to the attempt.
type Attempt struct {
	Number int       `json:"number"` // 1 for the first
	Task   string    `json:"task"`
	Worker string    `json:"worker"`
	Since  time.Time `json:"since"` // when the start was decided
}
