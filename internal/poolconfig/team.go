package poolconfig

import "persimmonbay/internal/scheduler"

// Team is a tenant whose callers share the pools with others.
type Team struct {
	Name     string
	Keys     []KeyDigest         // with which its callers identify themselves; empty: none may call
	Priority int                 // 0 is the highest
	Weight   float64             // jobs per second that it may send while the pools are full; 0: none
	Cap      scheduler.Resources // that it may have running in all pools together; 0 in a resource: no limit
}
