package peer

import (
	"context"
	"errors"
	"sync"
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
	dials   sync.WaitGroup
}

// NewClient returns a client of the entry called self. timeout bounds each
// call; a silent session is given up sooner.
func NewClient(self string, key []byte, timeout time.Duration) *Client {
	return &Client{self: self, key: key, timeout: timeout, links: shard.NewMapOf[string, *link](8)}
}

// Call sends request to the entry at address and returns its answer. An error
// of kind Unavailable means that the request never left. A call that ends
// before its session is known to be silent leaves the session to the others.
func (c *Client) Call(ctx context.Context, address string, request *wire.Request) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	l := c.links.GetOrCreate(address, func() *link { return &link{address: address, key: c.key, dials: &c.dials} })
	connection, err := l.open(ctx)
	if err != nil {
		return nil, connectError(address, err)
	}
	answered := connection.watch(func() { l.replace(connection) })
	keep := regular(request)
	stream, err := connection.stream(keep)
	if errors.Is(err, yamux.ErrRemoteGoAway) {
		l.retire(connection)
	} else if err != nil {
		l.replace(connection)
	}
	if err != nil {
		return nil, problem.Wrap(problem.Unavailable, problem.StepPeerCall, address, err)
	}
	request.From = c.self
	response, reusable, err := exchange(ctx, stream, request)
	if keep && reusable {
		connection.kept.put(stream, time.Now())
	} else {
		_ = stream.Close()
	}
	if err != nil {
		return nil, exchangeError(address, err)
	}
	answered()
	if response.GetFailure() != nil {
		return nil, wire.ToError(address, response.GetFailure())
	}
	return response, nil
}

// regular reports whether calls like this one come all the time, so that their
// streams are worth keeping. What ends such a call says less: a peer that stops
// closes kept streams, and the call cannot tell that from a lost answer.
func regular(request *wire.Request) bool {
	return request.GetHeartbeat() != nil || request.GetSlots() != nil || request.GetWork() != nil
}

// exchange gives up when ctx ends. reusable says that the answer is whole and
// the stream may carry another call.
func exchange(ctx context.Context, stream *yamux.Stream, request *wire.Request) (response *wire.Response, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	if err := wire.Write(stream, request); err != nil {
		return nil, false, err
	}
	response = &wire.Response{}
	err = wire.Read(stream, response)
	return response, stop() && err == nil, err
}

func exchangeError(address string, err error) error {
	if errors.Is(err, yamux.ErrTimeout) {
		return problem.Wrap(problem.Timeout, problem.StepPeerCall, address, err)
	}
	return problem.Wrap(problem.Interrupted, problem.StepPeerCall, address, err)
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

// Close closes all sessions and waits for the dialling ones.
func (c *Client) Close() {
	c.links.Range(func(address string, _ *link) bool {
		c.Forget(address)
		return true
	})
	c.dials.Wait()
}
