package scheduler

// WorkerRoster lists the workers on which an owner's tasks may run, for the next
// owner of the pool. The names of its fields and of those of RosterWorker and TaskID
// are stored.
type WorkerRoster struct {
	Tenure   int   // the ownership's epoch: rises by one with each owner of the pool
	Token    int64 // fencing token of the owner that saved the roster
	Quiet    bool  // no owner before that one sends orders any longer
	Released bool  // the owner sent no order after it saved the roster
	Workers  []RosterWorker
	// OpenStarts lists the starts that may be carried out although their owner reckons with
	// them no more.
	OpenStarts []RosterStart
}
