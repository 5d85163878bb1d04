package keeper

import (
	"context"

	"persimmonbay/internal/work"
)

// Workers carries orders to workers. Every answer that is not a worker's own
// word is Unanswered or NotReached.
type Workers interface {
	// Start returns the worker's clock too, in milliseconds; 0 if not told.
	Start(ctx context.Context, o work.StartOrder) (answer work.OrderResult, clock int64)
	Stop(ctx context.Context, o work.StopOrder) work.OrderResult
	Throttle(ctx context.Context, o work.ThrottleOrder) work.OrderResult
	// Poll returns a poll only with the answer Accepted.
	Poll(ctx context.Context, r work.PollRequest) (work.PollReply, work.OrderResult)
	// Forget closes what is kept open to an address.
	Forget(address string)
}
