package scheduler

// AdviceRequest asks which workers may run a step of an occurrence.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
}
