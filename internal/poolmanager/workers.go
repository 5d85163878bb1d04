package poolmanager

import (
	"context"

	"persimmonbay/internal/scheduler"
)

// Workers sends orders to workers. The result is NoResponse or NotReached unless it
// comes from the worker itself. An order that is not permitted any more when it would be
// sent is NotReached.
//
// A worker may restart under its ID and address at any time. Implementations guarantee that
// no incarnation but the one that a start names carries it out, also when it is late, and
// that none but the one that a poll names gets its deadline and its acknowledgement.
type Workers interface {
	// Start also returns the worker's clock in milliseconds; 0 if unknown. The result is
	// Restarted if another incarnation answers than the one that the order names.
	Start(ctx context.Context, o scheduler.StartOrder, permitted Permission) (answer scheduler.OrderResult, clock int64)
	// Stop stops a task.
	Stop(ctx context.Context, o scheduler.StopOrder, permitted Permission) scheduler.OrderResult
	// Throttle sets the share of its full speed at which a task runs.
	Throttle(ctx context.Context, o scheduler.ThrottleOrder, permitted Permission) scheduler.OrderResult
	// Poll sends a lease poll. The reply is valid only with the result Accepted.
	Poll(ctx context.Context, r scheduler.PollRequest) (scheduler.PollReply, scheduler.OrderResult)
	// CloseIdle closes the connections to an address.
	CloseIdle(address string)
}
