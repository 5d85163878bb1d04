package scheduler

// WorkerRoster is what the next owner of a pool has to know of the last one.
type WorkerRoster struct {
	Epoch                int   // counts the owners
	Token                int64 // fencing token of the owner that saved this
	EarlierOwnersStopped bool  // no owner before that one ordered any more
	Released             bool  // the owner ordered nothing after it saved this
	Workers              []RosterWorker
}
