package scheduler

// runPhase is how far the start of a run has come. A run is running once the worker has
// accepted the start or a poll reply lists the run.
type runPhase uint8

const (
	starting     runPhase = iota // the start is ordered and not answered yet
	startUnknown                 // the start got no answer: whether the run began is not known
	running
)
