package poolmanager

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// Timing holds the times that the manager works with.
type Timing struct {
	LeaseTTL            time.Duration // of this entry's lease; comes from the settings
	LeaseMargin         time.Duration // before its end, the lease counts as ended
	StartupDelay        time.Duration // after the start, before pools are taken
	TakeOverAfter       time.Duration // how long a pool stays without owner before others than the assigned one take it
	WatchWait           time.Duration // how long one watch waits
	StoreTimeout        time.Duration // of one call to the store
	OrderTimeout        time.Duration // of one order to a worker
	PollWait            time.Duration // how long a poll waits for an end
	SaveInterval        time.Duration // between two saves that callers wait for
	LazySaveDelay       time.Duration // how long progress waits that no caller waits for
	Retention           time.Duration // how long the state of a job is told after its end
	ControllerPause     time.Duration // before a new holder orders machines
	WorkerListInterval  time.Duration // between two reads of what changed in the list of workers
	MachineListInterval time.Duration // between two reads of the machines in a wave
	Scheduler           scheduler.Timing
}
