package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// maxAnswerBytes bounds one answer: a listing of many values in base64.
const maxAnswerBytes = 256 << 20

// exchange is one call: what to send and where to put the answer.
type exchange struct {
	kind      callKind
	step      problem.Step
	method    string
	path      string
	in        any // JSON body; nil for none
	out       any // where to decode the answer; nil to drop it
	wait      time.Duration
	condition *validator // of a conditional read; nil for none
}

func (c *Client) call(ctx context.Context, x exchange) error {
	c.counts.add(c.purpose, x.kind)
	timeout := c.timeout
	if x.wait > 0 {
		timeout = x.wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.newRequest(ctx, x)
	if err != nil {
		return problem.Wrap(problem.Internal, x.step, c.base, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.distrust(err)
		return problem.Wrap(transportKind(err), x.step, c.base, err)
	}
	defer response.Body.Close()
	return c.decode(response, x)
}

// distrust drops all idle connections after a timeout. The one that timed out
// is closed already; what silenced it may have silenced the others too, and
// each would cost a timeout of its own.
func (c *Client) distrust(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

func (c *Client) newRequest(ctx context.Context, x exchange) (*http.Request, error) {
	var body io.Reader
	if x.in != nil {
		encoded, err := json.Marshal(x.in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, x.method, c.base+x.path, body)
	if err != nil {
		return nil, err
	}
	request.Header["User-Agent"] = nil // sends none
	if x.in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	x.condition.ask(request)
	return request, nil
}

func (c *Client) decode(response *http.Response, x exchange) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		c.distrust(err)
		return problem.Wrap(transportKind(err), x.step, c.base, err)
	}
	if len(body) > maxAnswerBytes {
		return problem.New(problem.Interrupted, x.step, c.base, "the answer is larger than any that the platform gives")
	}
	if x.condition.take(response) {
		return nil
	}
	if response.StatusCode/100 != 2 {
		return c.refusal(response.StatusCode, body, x.step)
	}
	if x.out == nil {
		return nil
	}
	if err := json.Unmarshal(body, x.out); err != nil {
		return problem.Wrap(problem.Interrupted, x.step, c.base, err)
	}
	return nil
}

func (c *Client) refusal(status int, body []byte, step problem.Step) error {
	var refusal api.ErrorResponse
	if err := json.Unmarshal(body, &refusal); err != nil {
		refusal.Error = http.StatusText(status)
	}
	return problem.New(refusalKind(status), step, c.base, refusal.Error)
}

func refusalKind(status int) problem.Kind {
	switch status {
	case http.StatusNotFound:
		return problem.NotFound
	case http.StatusConflict:
		return problem.Conflict
	case http.StatusGone:
		return problem.Compacted
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return problem.Invalid
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return problem.Unavailable
	}
	return problem.Interrupted
}

// transportKind tells a call that never left (Unavailable) from one whose
// effect nobody knows.
func transportKind(err error) problem.Kind {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return problem.Unavailable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return problem.Timeout
	}
	return problem.Interrupted
}
