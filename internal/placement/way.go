package placement

// Way is how room is taken from a job.
type Way uint8

// The ways of preemption.
const (
	Checkpoint Way = iota // the task keeps its progress and ends
	Throttle              // the task uses a quarter of its processors
)

// ThrottledPercent is the share of its processors that a throttled task uses.
const ThrottledPercent = 25
