package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Ticket is one request that asks for its turn.
type Ticket struct {
	Class    fleet.Class
	Team     string
	Arrived  time.Time
	Deadline time.Time // zero: none
	Bytes    int
	Tried    []string // instances that must not be used again
	Receiver Receiver

	previous, next *Ticket
	queued         bool
}

// Queued reports whether the ticket waits.
func (t *Ticket) Queued() bool { return t.queued }
