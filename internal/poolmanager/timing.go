package poolmanager

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// Timing holds the durations that a manager works with.
type Timing struct {
	LeaseTTL            time.Duration // of this entry's lease; set in the settings
	LeaseMargin         time.Duration // the lease counts as ended this long before its end
	StartupDelay        time.Duration // between the start and the first acquisition of a pool without owner
	TakeOverAfter       time.Duration // how long a pool has no owner before the strongest entries, not only the assigned one, acquire it
	WatchWait           time.Duration // how long the store holds one watch request open
	StoreTimeout        time.Duration // bounds one call to the store
	OrderTimeout        time.Duration // bounds one order to a worker or a machine
	PollWait            time.Duration // how long a worker holds a poll open until a task ends
	SaveInterval        time.Duration // between two saves of progress
	LazySaveDelay       time.Duration // how long progress that no caller waits for is collected before a save
	Retention           time.Duration // how long the state of a job stays readable after its end
	ControllerPause     time.Duration // how long a new machine controller leaves alone the machines that an earlier one may have ordered
	WorkerListInterval  time.Duration // between two reads of changes in the list of workers
	MachineListInterval time.Duration // between two reads of the machines while there is a wave or a move
	ConfirmAfter        time.Duration // age of the last confirmation of the configuration at which it is read beside the watch; 0: never
	Scheduler           scheduler.Timing
}
