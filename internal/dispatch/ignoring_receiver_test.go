package dispatch_test

import (
	"time"

	"persimmonbay/internal/fleet"
)

// ignoringReceiver does nothing with what it is told.
type ignoringReceiver struct{}

// Placed implements admission.Receiver.
func (ignoringReceiver) Placed(fleet.Instance, time.Duration) {}

// Shed implements admission.Receiver.
func (ignoringReceiver) Shed() {}
