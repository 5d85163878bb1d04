package dispatch

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
)

// waiter receives the outcome of one queued request for the goroutine that waits
// for it. The channel is buffered, so that the receiver's methods do not block.
type waiter struct {
	ticket  admission.Ticket
	started chan Start // gets one value, or is closed without one when the ticket is shed
}

// Placed implements admission.Receiver.
func (w *waiter) Placed(instance fleet.Instance, charge time.Duration) {
	w.started <- Start{Instance: instance, Charge: charge}
}

// Shed implements admission.Receiver.
func (w *waiter) Shed() { close(w.started) }
