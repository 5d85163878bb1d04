package guard

import "time"

// event is how often one cause occurred, and up to where that was logged.
type event struct {
	count, logged int64
	loggedAt      time.Time
}
