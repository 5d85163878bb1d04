package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// Client calls a stand-in worker over HTTP.
type Client struct {
	Address string // HOST:PORT
}

var _ API = (*Client)(nil)

// Run implements API.
func (c *Client) Run(ctx context.Context, task string, order Order) (Report, error) {
	return c.call(ctx, http.MethodPut, task, "", order)
}

// Show implements API.
func (c *Client) Show(ctx context.Context, task string) (Report, error) {
	return c.call(ctx, http.MethodGet, task, "", nil)
}

// Checkpoint implements API.
func (c *Client) Checkpoint(ctx context.Context, task string) (Report, error) {
	return c.call(ctx, http.MethodPost, task, "/checkpoint", nil)
}

// Throttle implements API.
func (c *Client) Throttle(ctx context.Context, task string, percent int) (Report, error) {
	return c.call(ctx, http.MethodPost, task, "/throttle", api.ThrottleRequest{Percent: percent})
}

// Withdraw implements API.
func (c *Client) Withdraw(ctx context.Context, task string) (Report, error) {
	return c.call(ctx, http.MethodDelete, task, "", nil)
}

func (c *Client) call(ctx context.Context, method, task, action string, in any) (Report, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return Report{}, problem.Wrap(problem.Internal, problem.StepTask, c.Address, err)
	}
	address := "http://" + c.Address + "/tasks/" + url.PathEscape(task) + action
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return Report{}, problem.Wrap(problem.Internal, problem.StepTask, c.Address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Report{}, problem.Wrap(problem.Unavailable, problem.StepTask, c.Address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, problem.New(problem.Unavailable, problem.StepTask, c.Address, response.Status)
	}
	var report Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return Report{}, problem.Wrap(problem.Interrupted, problem.StepTask, c.Address, err)
	}
	return report, nil
}
