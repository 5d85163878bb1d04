package lending

import (
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/upkeep"
)

// Snapshot is the input of Plan.
type Snapshot struct {
	Needs            map[string]int                  // by pool: machines that it could use
	Kinds            map[string][]scheduler.KindNeed // by pool: machines of certain kinds that it needs besides
	OwnMachines      map[string]int                  // by pool: its own number of machines
	Offers           map[string]Offer                // by machine ID
	Machines         map[string]upkeep.Machine       // by ID
	Standby          map[string]bool                 // pools whose machines are powered off
	InTransit        map[string]string               // by machine: the pool that it was ordered into and has not joined
	UpkeepPending    map[string]bool                 // machines that wait for their upkeep
	UpkeepDeferrable map[string]bool                 // machines on standby whose upkeep in a wave can wait
	RecentlyOrdered  map[string]bool                 // machines that an earlier controller may have ordered just now
}
