package scheduler

// RunReport is one run that goes on, as a worker reports it in a poll reply.
type RunReport struct {
	Task           TaskID
	Attempt        int
	Checkpoint     string
	Percent        int // share of its full speed that was last ordered
	LatencyOrUsage int // of a serving task: tail latency in milliseconds; of any other: thousandths of a core in use
}
