package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

// clientTimeout bounds one call, from connecting to the end of the response.
const clientTimeout = 30 * time.Second

// Client calls the operators' API of one entry. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the operators' API at address, HOST:PORT, that
// sends token.
func NewClient(address, token string) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get decodes the response to a GET of path into out. Errors are *problem.Error.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Send requests a change: it sends in to path and decodes the response into out.
// Errors are *problem.Error or, for a document with faults, problem.Findings.
// When the error's step is connect or its kind is problem.Interrupted, the entry
// may have made the change.
func (c *Client) Send(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return problem.Wrap(problem.Internal, problem.StepSend, c.base, err)
	}
	return c.call(ctx, method, path, body, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return problem.Wrap(problem.Invalid, problem.StepSend, c.base, err)
	}
	request.Header.Set("Authorization", bearerPrefix+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		p := problem.Wrap(problem.Unavailable, problem.StepConnect, c.base, err)
		p.Detail = "the entry does not answer; choose another one with -operator"
		if method != http.MethodGet {
			p.Detail = "the entry does not answer, and may have made the change; check through another entry, with -operator, before you repeat it"
		}
		return p
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return problem.Wrap(problem.Interrupted, problem.StepReceive, c.base, err)
	}
	if response.StatusCode/100 != 2 {
		return responseError(c.base, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return problem.Wrap(problem.Interrupted, problem.StepReceive, c.base, err)
	}
	return nil
}

// responseError returns the error that the body of an unsuccessful response
// describes.
func responseError(peer string, answer []byte) error {
	var out message.ErrorResponse
	if err := json.Unmarshal(answer, &out); err != nil {
		return problem.New(problem.Internal, problem.StepReceive, peer, string(answer))
	}
	if len(out.Findings) > 0 {
		return problem.Findings(out.Findings)
	}
	return problem.New(problem.Kind(out.Kind), problem.Step(out.Step), out.Peer, out.Error)
}
