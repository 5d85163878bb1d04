package scheduler

import "time"

// tickets holds what the advice service granted to a stage. The pool's lock
// guards it.
type tickets struct {
	byWorker map[string]string
	until    time.Time
	asking   bool
	askAfter time.Time
}

// valid reports whether the tickets may still be used at now.
func (t *tickets) valid(now time.Time) bool { return len(t.byWorker) > 0 && now.Before(t.until) }
