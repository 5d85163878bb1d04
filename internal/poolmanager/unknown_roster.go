package poolmanager

import "persimmonbay/internal/scheduler"

// unknownRoster returns the roster that an owner with the given token assumes if the
// stored one cannot be decoded: any worker may run tasks until their leases end, and
// the number of earlier owners is at most the store's revision.
func unknownRoster(token int64) scheduler.WorkerRoster {
	return scheduler.WorkerRoster{Tenure: int(token), Workers: []scheduler.RosterWorker{{ID: unknownWorker}}}
}

// unknownWorker is no worker's id, as these contain no blanks.
const unknownWorker = "any worker"
