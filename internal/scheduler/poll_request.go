package scheduler

import "time"

// PollRequest is a lease poll. It extends the leases of all runs on a worker,
// acknowledges ends, and requests the list of runs. The worker may delay its reply by
// Wait while it has no end to report. AckedEnds, Deadline and Wait are for one incarnation:
// another one has a clock and ends of its own, and is only asked for its list.
type PollRequest struct {
	Worker      string
	Address     string
	Token       int64 // fencing token
	Incarnation int64 // start of the worker's process, Unix time in milliseconds; 0: not known
	AckedEnds   int64 // ends up to this number are acknowledged: the worker need not report them again
	Deadline    int64 // the new end of the leases, on the worker's clock, in milliseconds; 0: no lease is extended
	Wait        time.Duration
	AtOnce      bool          // no wait is wanted: the reply has to show what became of a start without an answer
	ShortWait   bool          // the worker leaves calls unanswered: a long wait would hide what ended there for as long
	Timeout     time.Duration // how long the reply may take, beyond Wait
}
