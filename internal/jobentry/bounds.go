package jobentry

import (
	"time"

	"persimmonbay/internal/keeper"
	"persimmonbay/internal/settings"
	"persimmonbay/internal/work"
)

// Times that follow from the store's usual answer of a few milliseconds and
// from the settings' bounds.
const (
	leaseMargin     = 200 * time.Millisecond  // for the clocks of both sides and one order on its way
	settle          = 1200 * time.Millisecond // entries that start together know each other by then
	steal           = 800 * time.Millisecond  // the assigned owner is several answers late by then
	watchWait       = time.Second             // bounds how long a silent connection goes unnoticed
	storeCall       = 900 * time.Millisecond
	workerOrder     = 700 * time.Millisecond
	pollWait        = time.Second
	saveEvery       = 20 * time.Millisecond
	saveLazily      = 80 * time.Millisecond
	listPause       = 100 * time.Millisecond // a part of a move's time; only owners of pools read the list
	listEvery       = 400 * time.Millisecond
	retentionFactor = 2                       // the times of day of entries may differ
	clockDrift      = 0.02                    // the platform's bound for a worker's steady clock
	ownerGap        = 1500 * time.Millisecond // from the end of a lost owner's lease to the next owner's polls
	suspension      = time.Second
	maxSuspense     = 8 * time.Second
	pauseMargin     = 300 * time.Millisecond
)

// boundsOf returns the times that the keeper works with.
func boundsOf(t *settings.JobTiming) keeper.Bounds {
	lease := max(t.Lease, t.MinLease)
	return keeper.Bounds{
		LeaseTTL: lease, LeaseMargin: leaseMargin, Settle: settle, Steal: steal, WatchWait: watchWait, Call: storeCall,
		Order: workerOrder, PollWait: pollWait, SaveEvery: saveEvery, SaveLazily: saveLazily,
		Retention: retentionFactor * t.Retention, HolderPause: t.HolderPause + pauseMargin, ListEvery: listEvery, ListPause: listPause,
		Work: work.Timing{
			RunLease: min(t.MaxHold, lease+pollWait+ownerGap), MaxRunLease: t.MaxHold, Restart: workerOrder, ClockDrift: clockDrift,
			StartEarly: t.StartEarly, TakeOver: lease, Stop: t.Stop, Suspension: suspension, MaxSuspense: maxSuspense,
		},
	}
}
