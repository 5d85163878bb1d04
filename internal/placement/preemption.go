package placement

// Preemption takes room from a job.
type Preemption struct {
	Job    string
	Way    Way
	Reason string
}
