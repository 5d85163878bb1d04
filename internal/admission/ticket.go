package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Ticket is one request that is to start or to wait.
type Ticket struct {
	Class             fleet.Class
	Team              string
	Arrived           time.Time
	Deadline          time.Time // zero: none
	Bytes             int       // size of the body
	ExcludedInstances []string  // IDs of instances that must not be used again
	Receiver          Receiver

	previous, next *Ticket
	queued         bool
}

// Queued reports whether the ticket waits.
func (t *Ticket) Queued() bool { return t.queued }
