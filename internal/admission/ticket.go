package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Ticket is one request that is to start or to wait.
type Ticket struct {
	Class             fleet.Class
	Team              string
	Arrived           time.Time // when the request came in
	Deadline          time.Time // zero: none
	Bytes             int       // size of the body
	ExcludedInstances []string  // IDs of instances that must not be used again
	Receiver          Receiver

	previous, next *Ticket
	queued         bool
}

// Queued reports whether the ticket waits.
func (t *Ticket) Queued() bool { return t.queued }

// latestStart returns when t must start to be answered before its deadline, given
// the mean service time. t has a deadline.
func (t *Ticket) latestStart(service time.Duration) time.Time {
	left := t.Deadline.Sub(t.Arrived)
	return t.Deadline.Add(-min(serviceMargin*service, left/serviceMargin))
}

// TooLate reports whether t can no longer be answered before its deadline, given
// the mean service time.
func (t *Ticket) TooLate(now time.Time, service time.Duration) bool {
	return !t.Deadline.IsZero() && (now.After(t.latestStart(service)) || !now.Before(t.Deadline))
}

// serviceMargin is how many mean service times are set aside for a request to run.
// Never more than half of the time to the deadline is set aside.
const serviceMargin = 2
