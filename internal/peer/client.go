package peer

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/yamux"

	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
)

// Client calls other entries. It keeps one session an address.
type Client struct {
	self    string
	key     []byte
	timeout time.Duration
	links   *shard.Map[string, *link]
}

// NewClient returns a client of the entry called self. timeout bounds each
// call and is the time after which a silent session is given up.
func NewClient(self string, key []byte, timeout time.Duration) *Client {
	return &Client{self: self, key: key, timeout: timeout, links: shard.NewMapOf[string, *link](8)}
}

// Call sends request to the entry at address and returns its answer. An error
// of kind Unavailable means that the request never left.
func (c *Client) Call(ctx context.Context, address string, request *wire.Request) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	l := c.links.GetOrCreate(address, func() *link { return &link{address: address, key: c.key} })
	session, err := l.open(ctx)
	if err != nil {
		return nil, connectError(address, err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		l.drop(session)
		return nil, problem.Wrap(problem.Unavailable, problem.StepPeerCall, address, err)
	}
	defer stream.Close()
	request.From = c.self
	response, err := exchange(ctx, stream, request)
	if err != nil {
		l.drop(session)
		return nil, problem.Wrap(problem.Interrupted, problem.StepPeerCall, address, err)
	}
	if response.GetFailure() != nil {
		return nil, wire.ToError(address, response.GetFailure())
	}
	return response, nil
}

// exchange gives up when ctx ends: a session that stays silent is as good as
// closed.
func exchange(ctx context.Context, stream *yamux.Stream, request *wire.Request) (*wire.Response, error) {
	deadline, _ := ctx.Deadline()
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if err := wire.Write(stream, request); err != nil {
		return nil, err
	}
	response := &wire.Response{}
	return response, wire.Read(stream, response)
}

func connectError(address string, err error) error {
	var known *problem.Error
	if errors.As(err, &known) {
		return known
	}
	return problem.Wrap(problem.Unavailable, problem.StepConnect, address, err)
}

// Forget closes the session to address.
func (c *Client) Forget(address string) {
	if l, ok := c.links.Delete(address); ok {
		l.close()
	}
}

// Close closes all sessions.
func (c *Client) Close() {
	c.links.Range(func(address string, _ *link) bool {
		c.Forget(address)
		return true
	})
}
