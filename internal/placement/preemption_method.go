package placement

// PreemptionMethod is how a job's resources are freed.
type PreemptionMethod uint8

// The preemption methods.
const (
	Checkpoint PreemptionMethod = iota // the task stores its progress and ends
	Throttle                           // the task is limited to ThrottledPercent of its processors
)

// ThrottledPercent is the share of its processors that a throttled task may use,
// in percent.
const ThrottledPercent = 25
