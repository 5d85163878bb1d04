package placement

// Preemption frees resources that a job uses.
type Preemption struct {
	Job    string
	Method PreemptionMethod
	Reason string
}
