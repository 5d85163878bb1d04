package scheduler

// AdviceRequest requests, from the advice service, which of Workers may run a step of
// an occurrence.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
}
