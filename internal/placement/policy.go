package placement

import "time"

// Policy sets the limits and thresholds of plans.
type Policy struct {
	Fit            Fit
	MaxStarts      int           // starts per plan
	MaxSearches    int           // searches for preemptions per plan
	SilentAfter    time.Duration // a worker that has not responded for this long gets no tasks
	LostAfter      time.Duration // a task is lost once its worker has been gone or has not responded for this long
	SettleAfter    time.Duration // run time after which the reported usage replaces the estimate
	EvidenceWindow time.Duration // age up to which failures and successes of a worker count
	WorkerFailures int           // failures since its latest success that quarantine a worker
	JobFailures    int           // a job is given up after failures on this many workers that finish other jobs
	RunTimeFactor  float64       // factor on expected run times when they are compared with a deadline
	DeadlineSlack  time.Duration // reserve between a job's latest finish and its deadline
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
