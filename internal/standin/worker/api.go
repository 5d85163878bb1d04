package worker

import "context"

// API is the interface of a worker to the stand-in platform. An error means that
// the worker did not answer.
type API interface {
	// Run starts a task, unless a task of this ID was run or withdrawn before.
	Run(ctx context.Context, task string, order Order) (Report, error)
	// Show returns the state of a task.
	Show(ctx context.Context, task string) (Report, error)
	// Checkpoint ends a running task with its progress saved.
	Checkpoint(ctx context.Context, task string) (Report, error)
	// Throttle limits a task to percent of its full speed.
	Throttle(ctx context.Context, task string, percent int) (Report, error)
	// Withdraw stops a running task. Its ID can no longer be run.
	Withdraw(ctx context.Context, task string) (Report, error)
}
