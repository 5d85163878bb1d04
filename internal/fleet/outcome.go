package fleet

// Outcome is the result of a request as it is reported to the caller.
type Outcome string

const (
	// Completed means that the answer is the upstream's own.
	Completed Outcome = "completed"
	// NotRun guarantees that no copy of the request has run or will run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, or may still run.
	Unknown Outcome = "unknown"
)
