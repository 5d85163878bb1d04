package scheduler

// RunReport is one run in a worker's answer.
type RunReport struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int // share of its speed at which it was told to work
	Gauge      int // tail latency in ms of a serving task, else thousandths of a core in use
}
