package jobentry

import (
	"time"

	"persimmonbay/internal/answertime"
	"persimmonbay/internal/poolmanager"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/settings"
)

// Times derived from the store's usual answer time of a few milliseconds and from
// the bounds of the settings.
const (
	leaseMargin         = 200 * time.Millisecond  // for clock differences and one order in transit
	startupDelay        = 1200 * time.Millisecond // entries that start together know each other after it
	takeOverAfter       = 800 * time.Millisecond  // the assigned owner is several answer times late after it
	watchWait           = time.Second             // bounds how long a dead connection goes unnoticed
	storeTimeout        = 900 * time.Millisecond
	startTimeout        = 150 * time.Millisecond // many times a worker's usual answer time, and short compared with a task
	orderTimeout        = 700 * time.Millisecond
	leastTimeout        = 50 * time.Millisecond  // ten times a worker's usual answer time
	pollWait            = 250 * time.Millisecond // adds to the time for which a poll that was lost hides what ended on its worker
	saveInterval        = 20 * time.Millisecond
	lazySaveDelay       = 80 * time.Millisecond
	workerListInterval  = 100 * time.Millisecond // adds to the time of a move; only owners of pools read the list
	machineListInterval = 400 * time.Millisecond
	retentionFactor     = 2                       // the entries' clocks may differ
	clockDrift          = 0.02                    // fraction; the platform's bound for a worker's monotonic clock
	ownerGap            = 1500 * time.Millisecond // from the end of a lost owner's lease to the next owner's polls
	firstSuspension     = time.Second
	maxSuspension       = 8 * time.Second
	lateCalls           = 12250 * time.Millisecond // the platform's workers carry out a call without an answer up to 12 s late
	pauseMargin         = 300 * time.Millisecond
)

// strongCores is the processor with which an entry reads the answers to its starts within
// startTimeout, also in a turn.
const strongCores = 0.8

// startTimeoutOf returns how long an entry with the given cores waits for the answer to the
// first copy of a start. A weaker entry reads answers later: copies that it sends too early
// take the time that it lacks.
func startTimeoutOf(cores float64) time.Duration {
	if cores <= 0 || cores >= strongCores {
		return startTimeout
	}
	return min(time.Duration(float64(startTimeout)*strongCores/cores), orderTimeout)
}

// timingOf returns the pool manager's timing for the given settings, on an entry with the
// given cores. spreadFactor is as in settings.JobPlacement.
func timingOf(t *settings.JobTiming, cores, spreadFactor float64) poolmanager.Timing {
	lease := max(t.Lease, t.MinLease)
	return poolmanager.Timing{
		LeaseTTL: lease, LeaseMargin: leaseMargin, StartupDelay: startupDelay, TakeOverAfter: takeOverAfter, WatchWait: watchWait, StoreTimeout: storeTimeout,
		OrderTimeout: orderTimeout, PollWait: pollWait, SaveInterval: saveInterval, LazySaveDelay: lazySaveDelay,
		Retention: retentionFactor * t.Retention, ControllerPause: t.ControllerPause + pauseMargin, MachineListInterval: machineListInterval, WorkerListInterval: workerListInterval,
		Scheduler: scheduler.Timing{
			RunLease: min(t.MaxRunLease, lease+pollWait+orderTimeout+ownerGap), MaxRunLease: t.MaxRunLease, StartTimeout: startTimeoutOf(cores), OrderTimeout: orderTimeout, LeastTimeout: answertime.FloorOf(leastTimeout, orderTimeout, cores, strongCores), ClockDrift: clockDrift,
			StartEarly: t.StartEarly, FormerOwnerLease: lease, StopTimeout: t.MaxStopTime, LateCalls: lateCalls, FirstSuspension: firstSuspension, MaxSuspension: maxSuspension, SpreadFactor: spreadFactor,
		},
	}
}
