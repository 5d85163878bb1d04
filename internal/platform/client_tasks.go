package platform

import (
	"context"
	"net/http"
	"net/url"

	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

var _ Tasks = (*Client)(nil)

// RunTask implements Tasks.
func (c *Client) RunTask(ctx context.Context, worker, task string, request api.TaskRequest) (api.Task, error) {
	return c.task(ctx, callWrite, http.MethodPut, taskPath(worker, task), request)
}

// Task implements Tasks.
func (c *Client) Task(ctx context.Context, worker, task string) (api.Task, error) {
	return c.task(ctx, callRead, http.MethodGet, taskPath(worker, task), nil)
}

// CheckpointTask implements Tasks.
func (c *Client) CheckpointTask(ctx context.Context, worker, task string) (api.Task, error) {
	return c.task(ctx, callWrite, http.MethodPost, taskPath(worker, task)+"/checkpoint", nil)
}

// ThrottleTask implements Tasks.
func (c *Client) ThrottleTask(ctx context.Context, worker, task string, percent int) (api.Task, error) {
	return c.task(ctx, callWrite, http.MethodPost, taskPath(worker, task)+"/throttle", api.ThrottleRequest{Percent: percent})
}

// WithdrawTask implements Tasks.
func (c *Client) WithdrawTask(ctx context.Context, worker, task string) (api.Task, error) {
	return c.task(ctx, callWrite, http.MethodDelete, taskPath(worker, task), nil)
}

func (c *Client) task(ctx context.Context, kind callKind, method, path string, in any) (api.Task, error) {
	var task api.Task
	err := c.call(ctx, exchange{kind: kind, step: problem.StepTask, method: method, path: path, in: in, out: &task})
	return task, err
}

func taskPath(worker, task string) string {
	return "/v1/workers/" + url.PathEscape(worker) + "/tasks/" + url.PathEscape(task)
}
