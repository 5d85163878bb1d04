package placement

import "time"

// Policy sets the limits of plans.
type Policy struct {
	Fit            Fit
	MaxStarts      int           // in one plan
	MaxSearches    int           // for room to preempt, in one plan
	SilentAfter    time.Duration // a worker that does not answer gets no work
	LostAfter      time.Duration // a task on a worker that is gone or does not answer is lost
	SettleAfter    time.Duration // a task has shown what it uses after this time
	EvidenceWindow time.Duration // failures and successes count for this long
	WorkerFailures int           // that quarantine a worker
	JobFailures    int           // on workers that run others, that end a job
	RunTimeFactor  float64       // by which run times may be longer than expected
	DeadlineSlack  time.Duration // kept free ahead of a deadline
}

// DefaultPolicy returns the policy that entries use.
func DefaultPolicy() Policy {
	return Policy{
		Fit:            KeepAccelerators,
		MaxStarts:      256,
		MaxSearches:    32,
		SilentAfter:    2 * time.Second,
		LostAfter:      15 * time.Second,
		SettleAfter:    time.Minute,
		EvidenceWindow: 30 * time.Minute,
		WorkerFailures: 3,
		JobFailures:    3,
		RunTimeFactor:  2,
		DeadlineSlack:  10 * time.Second,
	}
}
