package lending

import "persimmonbay/internal/upkeep"

// Snapshot is all that the next moves depend on.
type Snapshot struct {
	Needs    map[string]int   // machines that a pool could use
	Offers   map[string]Offer // by machine
	Machines map[string]upkeep.Machine
	Standby  map[string]bool   // pools whose machines are off
	OnTheWay map[string]string // by machine: the pool it was ordered to and has not joined
	Asked    map[string]bool   // machines that wait for their upkeep
}
