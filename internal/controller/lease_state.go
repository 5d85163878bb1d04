package controller

import "time"

// leaseState is the part of a Lease that other goroutines read.
type leaseState struct {
	heldUntil time.Time // the lease is certainly held until then; zero: not held
}
