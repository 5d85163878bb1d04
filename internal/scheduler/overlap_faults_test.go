package scheduler_test

import "time"

// overlapFaults selects the kinds of faults that a simulation injects in addition to the
// common ones. Those are: owners that crash or release the pool, calls and answers that
// are lost or late, and workers that are cut off or crash.
type overlapFaults struct {
	OverlappingOwners bool // an owner still works after it has lost the pool, and watches are slow
	ThreeOwners       bool // the same, and the next owner loses the pool within the same lease
	UnnoticedRestarts bool // workers restart under their own ID, and the platform lists that late
	LateWrites        bool // writes without an answer may be carried out seconds later
	SlowLoad          bool // an owner needs up to maxSlowLoad until it has the jobs
	StaleMachineList  bool // the list of machines is old when it arrives
	Recuts            bool // workers restart under their own ID, with clocks of all kinds, and are cut off soon after, while long tasks run
	Drains            bool // workers drain and leave
	EndsPerReply      int  // the most ends that a reply lists; 0: all

	// ReadDelay is the longest time for which the owner leaves an answer unread that has
	// arrived; 0: none. There is one owner all the time, and ends that have arrived count
	// as acknowledged.
	ReadDelay time.Duration

	// ReplyDelay is the longest time that an answer takes to the owner while its link is
	// full, which it is for some seconds at a time; 0: it never is.
	ReplyDelay time.Duration
	// PollPause is the longest time for which a poller does not get its turn; 0: it
	// always does.
	PollPause time.Duration
	// RefusedDials is the percentage of new connections for polls that are not opened,
	// because a limit of connections is reached.
	RefusedDials int
	// NoLosses stands for a platform without other faults: no call is lost, no worker is
	// cut off or crashes, and there is one owner all the time. An end counts as
	// acknowledged 100 ms after a reply has listed it.
	NoLosses bool
}
