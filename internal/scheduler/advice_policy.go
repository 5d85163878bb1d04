package scheduler

import "time"

// AdvicePolicy tells that only workers granted by the advice service may run a
// step, and how long that service takes.
type AdvicePolicy struct {
	DecideTime     time.Duration // of each call
	PerWorker      time.Duration // for each worker named
	TicketValidity time.Duration // of a ticket
}
