package scheduler

// ThrottleOrder tells a worker at which share of its speed a run works.
type ThrottleOrder struct {
	Worker  string
	Address string
	Task    TaskID
	Attempt int
	Percent int
	Token   int64 // fencing token
}
