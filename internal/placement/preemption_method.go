package placement

// PreemptionMethod is how room is taken from a job.
type PreemptionMethod uint8

// The ways of preemption.
const (
	Checkpoint PreemptionMethod = iota // the task keeps its progress and ends
	Throttle                           // the task uses a quarter of its processors
)

// ThrottledPercent is the share of its processors that a throttled task uses.
const ThrottledPercent = 25
