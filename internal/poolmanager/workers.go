package poolmanager

import (
	"context"

	"persimmonbay/internal/scheduler"
)

// Workers carries orders to workers. Every answer that is not a worker's own
// word is Unanswered or NotReached.
type Workers interface {
	// Start returns the worker's clock too, in milliseconds; 0 if not told.
	Start(ctx context.Context, o scheduler.StartOrder) (answer scheduler.OrderResult, clock int64)
	Stop(ctx context.Context, o scheduler.StopOrder) scheduler.OrderResult
	Throttle(ctx context.Context, o scheduler.ThrottleOrder) scheduler.OrderResult
	// Poll returns a poll only with the answer Accepted.
	Poll(ctx context.Context, r scheduler.PollRequest) (scheduler.PollReply, scheduler.OrderResult)
	// Forget closes what is kept open to an address.
	Forget(address string)
}
