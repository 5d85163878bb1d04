package scheduler

import "time"

// tickets holds the tickets that the advice service granted to a stage, by worker. A
// task of the stage may start only on a worker with a ticket. The pool's lock guards it.
type tickets struct {
	byWorker   map[string]string
	validUntil time.Time
	requested  bool
	retryAt    time.Time
}

// valid reports whether there are tickets that may be used at now.
func (t *tickets) valid(now time.Time) bool { return len(t.byWorker) > 0 && now.Before(t.validUntil) }
