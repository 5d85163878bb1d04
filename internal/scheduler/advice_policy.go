package scheduler

import "time"

// AdvicePolicy states that a job's tasks may run only on workers that the advice
// service grants, and how long that service takes to decide.
type AdvicePolicy struct {
	DecideTime     time.Duration // for each call
	PerWorker      time.Duration // more for each worker that the call names
	TicketValidity time.Duration // how long a ticket may be used
}

// callTime returns how long the service takes to answer a call that names n workers.
func (a *AdvicePolicy) callTime(n int) time.Duration {
	return a.DecideTime + time.Duration(n)*a.PerWorker
}
