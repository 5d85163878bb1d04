package scheduler

import (
	"time"

	"persimmonbay/internal/quota"
)

// openStart is a copy of a start that got no answer and was not carried out by the
// incarnation of the worker that it was sent to. A later incarnation under the same ID may
// carry it out until the given time, as it knows neither the fencing token nor the attempts
// that have ended, and then runs the task until its lease has expired.
type openStart struct {
	worker     string
	machine    string // on which that worker runs; empty: not known
	sentAt     time.Time
	token      int64 // fencing token that it carries
	attempt    int   // that no incarnation is known to have run; 0: its attempt was run
	until      time.Time
	charge     quota.Charge
	leaseUntil time.Time // until when late polls may extend the lease of its run, once the worker was removed; zero: it was not
}
