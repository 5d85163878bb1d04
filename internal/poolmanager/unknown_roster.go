package poolmanager

import "persimmonbay/internal/scheduler"

// unknownRoster stands for a roster that is not understood, for the owner with
// the given token: there may be any workers, which hold tasks until their leases
// end, and no more owners before than there were changes of the store.
func unknownRoster(token int64) scheduler.WorkerRoster {
	return scheduler.WorkerRoster{Tenure: int(token), Workers: []scheduler.RosterWorker{{ID: unknownWorker}}}
}

// unknownWorker is no worker's id, as these hold no blanks.
const unknownWorker = "any worker"
