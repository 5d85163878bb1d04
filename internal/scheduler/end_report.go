package scheduler

// EndReport is one run that has ended, as a worker reports it in a poll reply.
type EndReport struct {
	Number     int64 // rises by one with each end; each incarnation of the worker counts anew
	Task       TaskID
	Attempt    int
	Kind       EndKind
	Checkpoint string
}
