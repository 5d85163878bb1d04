package lending

import "persimmonbay/internal/upkeep"

// Snapshot is all that the next moves depend on.
type Snapshot struct {
	Needs            map[string]int   // machines that a pool could use
	Home             map[string]int   // machines that are a pool's own
	Offers           map[string]Offer // by machine
	Machines         map[string]upkeep.Machine
	Standby          map[string]bool   // pools whose machines are off
	InTransit        map[string]string // by machine: the pool it was ordered to and has not joined
	UpkeepPending    map[string]bool   // machines that wait for their upkeep
	UpkeepDeferrable map[string]bool   // machines on standby whose upkeep can wait
	RecentlyOrdered  map[string]bool   // machines that an earlier holder has ordered just now
}
