package admission

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Receiver is told once what became of a waiting ticket. It is called under
// the lock of the service and must not block.
type Receiver interface {
	// Placed says that the ticket's turn has come, on instance. charge must be
	// handed back when the request ends.
	Placed(instance fleet.Instance, charge time.Duration)
	// Shed says that the ticket can no longer be answered in time.
	Shed()
}
