package placement

// Preemption takes room from a job.
type Preemption struct {
	Job    string
	Method PreemptionMethod
	Reason string
}
