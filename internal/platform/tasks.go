package platform

import (
	"context"

	"persimmonbay/internal/platform/api"
)

// Tasks runs tasks on workers. A worker runs a task ID once at most, however
// often it is ordered.
//
// Errors are *problem.Error; kind NotFound says that the worker or task is not
// known, and Conflict that the ID was withdrawn.
type Tasks interface {
	// RunTask orders a task, and returns what became of it if it was ordered
	// before.
	RunTask(ctx context.Context, worker, task string, request api.TaskRequest) (api.Task, error)
	// Task returns the state of a task.
	Task(ctx context.Context, worker, task string) (api.Task, error)
	// CheckpointTask has the task keep its progress and end.
	CheckpointTask(ctx context.Context, worker, task string) (api.Task, error)
	// ThrottleTask holds the task to a percentage of its processors; 100 ends
	// that.
	ThrottleTask(ctx context.Context, worker, task string, percent int) (api.Task, error)
	// WithdrawTask stops the task if it runs; its ID is refused from then on.
	WithdrawTask(ctx context.Context, worker, task string) (api.Task, error)
}
