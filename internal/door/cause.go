package door

// Cause is why a job was accepted or refused.
type Cause string

// The causes. All but TooLate accept.
const (
	NoReport Cause = "no report"     // no owner's report is recent enough
	Deferred Cause = "deferred"      // long-running jobs and those that start later
	Within   Cause = "within weight" // or without a team
	Unknown  Cause = "unknown pace"  // how long the queue's jobs take
	InTime   Cause = "in time"       // it can end while it is of use
	TooLate  Cause = "too late"
)
