package scheduler

// RunOutcome is how a run ended or why it was given up, for the logs: an EndKind that the
// worker reported, or one of the values below. Operators match these texts.
type RunOutcome string

// The reasons for which a run is given up without a reported end.
const (
	LeaseOver       RunOutcome = "worker is silent and the lease is over"
	IncarnationOver RunOutcome = "incarnation of the worker is over"
	NotListed       RunOutcome = "worker does not list the run"
	EndNotListed    RunOutcome = "worker has an end of this or a later attempt that it does not list"
)
