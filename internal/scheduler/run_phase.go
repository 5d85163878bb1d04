package scheduler

// runPhase is where a run stands.
type runPhase uint8

const (
	starting     runPhase = iota // ordered, no answer yet
	startUnknown                 // ordered, the answer was lost
	running
)
