package scheduler

// EndReport is one ended run in a worker's answer.
type EndReport struct {
	Number     int64 // rises by one with each end of one incarnation of the worker
	Task       TaskID
	Attempt    int
	Kind       EndKind
	Checkpoint string
}
