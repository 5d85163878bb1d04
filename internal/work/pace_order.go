package work

// PaceOrder tells a worker at which share of its speed a run works.
type PaceOrder struct {
	Worker  string
	Address string
	Task    TaskID
	Attempt int
	Percent int
	Token   int64 // fencing token
}
