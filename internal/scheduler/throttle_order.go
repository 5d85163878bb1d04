package scheduler

// ThrottleOrder sets the share of its full speed, in percent, at which a run works.
type ThrottleOrder struct {
	Worker  string
	Address string
	Task    TaskID
	Attempt int
	Percent int
	Token   int64 // fencing token
}
