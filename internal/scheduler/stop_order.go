package scheduler

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Worker  string
	Address string
	Task    TaskID
	Attempt int
	Token   int64 // fencing token
}
