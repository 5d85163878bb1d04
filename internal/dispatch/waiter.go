package dispatch

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
)

// waiter is the goroutine of one queued request. It is told once, through a
// channel with room for it.
type waiter struct {
	ticket admission.Ticket
	turn   chan Start // closed without a value when the ticket is shed
}

// Placed implements admission.Receiver.
func (w *waiter) Placed(instance fleet.Instance, charge time.Duration) {
	w.turn <- Start{Instance: instance, Charge: charge}
}

// Shed implements admission.Receiver.
func (w *waiter) Shed() { close(w.turn) }
