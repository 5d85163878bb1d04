package dispatch_test

import (
	"time"

	"persimmonbay/internal/fleet"
)

// ignoringReceiver is an admission.Receiver that does nothing.
type ignoringReceiver struct{}

// Placed implements admission.Receiver.
func (ignoringReceiver) Placed(fleet.Instance, time.Duration) {}

// Shed implements admission.Receiver.
func (ignoringReceiver) Shed() {}
