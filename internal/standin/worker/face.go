package worker

import "context"

// Face is what the stand-in platform asks of a worker. Errors say that the
// worker did not answer.
type Face interface {
	// Run starts a task unless its ID was run or withdrawn before.
	Run(ctx context.Context, task string, order Order) (Report, error)
	Show(ctx context.Context, task string) (Report, error)
	Checkpoint(ctx context.Context, task string) (Report, error)
	Throttle(ctx context.Context, task string, percent int) (Report, error)
	// Withdraw stops the task and refuses its ID from then on.
	Withdraw(ctx context.Context, task string) (Report, error)
}
