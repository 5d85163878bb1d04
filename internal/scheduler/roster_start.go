package scheduler

import (
	"time"

	"persimmonbay/internal/quota"
)

// RosterStart is a start that got no answer and that a later incarnation of the worker may
// still carry out, or may have carried out and still run. The names of its fields are stored.
type RosterStart struct {
	Worker  string
	Machine string // on which that worker runs; empty: not known
	Task    TaskID
	Charge  *quota.Charge `cbor:",omitempty"` // what it counts for; nil: nothing, or an earlier version saved the roster
	Left    time.Duration // for how long it may be carried out from when the roster was saved on; below 0: it was over before
}
