package poolmanager

import "time"

// renewal is the result of one call that renews a lease.
type renewal struct {
	sent time.Duration // when it was sent, since boot: the lease runs at least from then
	err  error
}
