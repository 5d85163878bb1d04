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

// maxResponseBytes bounds the body of one response. The largest are listings of
// many values in base64.
const maxResponseBytes = 256 << 20

// exchange is one HTTP call: the request to send and the target of the response.
type exchange struct {
	kind      callKind
	step      problem.Step
	method    string
	path      string
	in        any           // JSON body; nil for none
	out       any           // target for the decoded response body; nil to ignore it
	wait      time.Duration // timeout of the call; 0: that of the client
	condition *validator    // makes a read conditional; nil for none
}

// call sends x, counts it, and decodes the response into x.out. Errors are
// *problem.Error.
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
		c.closeIdleAfterTimeout(err)
		return problem.Wrap(transportKind(err), x.step, c.base, err)
	}
	defer response.Body.Close()
	return c.decode(response, x)
}

// closeIdleAfterTimeout closes all idle connections if err is a timeout. The
// connection that timed out is closed already; a network fault that silenced it
// may affect the others too, and each would cost another timeout.
func (c *Client) closeIdleAfterTimeout(err error) {
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
	request.Header["User-Agent"] = nil // nil omits the header
	if x.in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	x.condition.addTo(request)
	return request, nil
}

// decode reads the response and decodes its body into x.out, or returns the
// error that it reports.
func (c *Client) decode(response *http.Response, x exchange) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		c.closeIdleAfterTimeout(err)
		return problem.Wrap(transportKind(err), x.step, c.base, err)
	}
	if len(body) > maxResponseBytes {
		return problem.New(problem.Interrupted, x.step, c.base, "reading the response: its body exceeds the size limit of the client")
	}
	if x.condition.update(response) {
		return nil
	}
	if response.StatusCode/100 != 2 {
		return c.responseError(response.StatusCode, body, x.step)
	}
	if x.out == nil {
		return nil
	}
	if err := json.Unmarshal(body, x.out); err != nil {
		return problem.Wrap(problem.Interrupted, x.step, c.base, err)
	}
	return nil
}

// responseError returns the error for a response whose status is not 2xx.
func (c *Client) responseError(status int, body []byte, step problem.Step) error {
	var reply api.ErrorResponse
	if err := json.Unmarshal(body, &reply); err != nil {
		reply.Error = http.StatusText(status)
	}
	return problem.New(statusKind(status), step, c.base, reply.Error)
}

// statusKind returns the error kind for an HTTP status that is not 2xx.
func statusKind(status int) problem.Kind {
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

// transportKind returns Unavailable for a call that was not sent because no
// connection could be opened, and Timeout or Interrupted for a call that may have
// taken effect.
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
