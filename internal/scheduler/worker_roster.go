package scheduler

// WorkerRoster is what the next owner of a pool has to know of the last one. The
// names of its fields and of those of RosterWorker and TaskID are stored.
type WorkerRoster struct {
	Tenure   int   // ownership epoch: rises by one with each owner of the pool
	Token    int64 // fencing token of the owner that saved this
	Quiet    bool  // no owner before that one sends orders any more
	Released bool  // the owner sent no order after it saved this
	Workers  []RosterWorker
}
