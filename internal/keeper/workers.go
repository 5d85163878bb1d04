package keeper

import (
	"context"

	"persimmonbay/internal/work"
)

// Workers carries orders to workers. Every answer that is not a worker's own
// word is Unanswered or NotReached.
type Workers interface {
	// Start returns the worker's clock too, in milliseconds; 0 if not told.
	Start(ctx context.Context, o work.StartOrder) (answer work.Answer, clock int64)
	Stop(ctx context.Context, o work.StopOrder) work.Answer
	Pace(ctx context.Context, o work.PaceOrder) work.Answer
	// Poll returns a poll only with the answer Accepted.
	Poll(ctx context.Context, r work.PollRequest) (work.PollReply, work.Answer)
	// Forget closes what is kept open to an address.
	Forget(address string)
}
