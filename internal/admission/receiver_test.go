package admission_test

import (
	"time"

	"persimmonbay/internal/fleet"
)

// testReceiver counts the calls of Shed.
type testReceiver struct{ shed int }

// Placed implements admission.Receiver.
func (r *testReceiver) Placed(fleet.Instance, time.Duration) {}

// Shed implements admission.Receiver.
func (r *testReceiver) Shed() { r.shed++ }
