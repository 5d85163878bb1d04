package door

import "time"

// Verdict is the decision on one job, with what led to it.
type Verdict struct {
	Cause      Cause
	Age        time.Duration // of the report
	Wait       time.Duration // that is expected at least before the job starts
	Useful     time.Duration // from now until the job's end is of no use
	RetryAfter time.Duration // of a refusal: when room is expected, spread over jobs
}

// Refused reports whether the job is not accepted.
func (v *Verdict) Refused() bool { return v.Cause == TooLate }
