package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Receiver gets the outcome of a waiting ticket. One of its methods is called, at
// most once, under the lock of the service; it must not block.
type Receiver interface {
	// Placed is called when the ticket starts on instance. charge must be passed to
	// Order.Finish when the request ends.
	Placed(instance fleet.Instance, charge time.Duration)
	// Shed is called when the ticket can no longer be answered before its deadline.
	Shed()
}
