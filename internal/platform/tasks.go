package platform

import (
	"context"

	"persimmonbay/internal/platform/api"
)

// Tasks runs tasks on workers. A worker runs a task ID at most once, however
// often the task is ordered. Each method returns the state of the task.
//
// Errors are *problem.Error; kind NotFound means that the worker or the task is
// not known, and Conflict that the task was withdrawn.
type Tasks interface {
	// RunTask orders a worker to run a task. If the task was ordered before, it
	// only returns its state.
	RunTask(ctx context.Context, worker, task string, request api.TaskRequest) (api.Task, error)
	// Task returns the state of a task.
	Task(ctx context.Context, worker, task string) (api.Task, error)
	// CheckpointTask orders the task to save its progress and end.
	CheckpointTask(ctx context.Context, worker, task string) (api.Task, error)
	// ThrottleTask limits the task to a percentage of its processors; 100 removes
	// the limit.
	ThrottleTask(ctx context.Context, worker, task string, percent int) (api.Task, error)
	// WithdrawTask stops the task if it runs. The worker refuses its ID from then
	// on.
	WithdrawTask(ctx context.Context, worker, task string) (api.Task, error)
}
