package fleet

// Outcome tells a caller what became of a request.
type Outcome string

const (
	// Completed says that the answer is the upstream's own.
	Completed Outcome = "completed"
	// NotRun promises that no copy of the request has run or ever will.
	NotRun Outcome = "not-run"
	// Unknown says that nobody can promise either of the two.
	Unknown Outcome = "unknown"
)
