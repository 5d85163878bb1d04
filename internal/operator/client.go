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

// clientTimeout bounds one call of the command line.
const clientTimeout = 30 * time.Second

// Client asks an entry's operator address.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the operator address HOST:PORT.
func NewClient(address, token string) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads path into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Send makes a change: it sends in to path and reads the answer into out.
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
	request.Header.Set("Authorization", bearer+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		p := problem.Wrap(problem.Unavailable, problem.StepConnect, c.base, err)
		p.Detail = "the entry does not answer; ask another one with -operator"
		if method != http.MethodGet {
			p.Detail = "the entry does not answer, and may have made the change; look before you repeat it, through another entry with -operator"
		}
		return p
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return problem.Wrap(problem.Interrupted, problem.StepReceive, c.base, err)
	}
	if response.StatusCode/100 != 2 {
		return refusal(c.base, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return problem.Wrap(problem.Interrupted, problem.StepReceive, c.base, err)
	}
	return nil
}

func refusal(peer string, answer []byte) error {
	var out message.ErrorResponse
	if err := json.Unmarshal(answer, &out); err != nil {
		return problem.New(problem.Internal, problem.StepReceive, peer, string(answer))
	}
	if len(out.Findings) > 0 {
		return problem.Findings(out.Findings)
	}
	return problem.New(problem.Kind(out.Kind), problem.Step(out.Step), out.Peer, out.Error)
}
