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

// Client calls other entries. It has one open session for each address and is
// safe for concurrent use.
type Client struct {
	self    string
	key     []byte
	timeout time.Duration
	links   *shard.Map[string, *link]
	dials   sync.WaitGroup
}

// NewClient returns a client that sends calls as the entry with ID self and
// authenticates with key. timeout bounds each call; a call over a session whose
// peer has stopped sending fails sooner, after silenceLimit.
func NewClient(self string, key []byte, timeout time.Duration) *Client {
	return &Client{self: self, key: key, timeout: timeout, links: shard.NewMapOf[string, *link](8)}
}

// Call sends request to the entry at address and returns its response. It sets
// request.From. An error of kind Unavailable means that the request was not
// sent; Timeout and Interrupted mean that the peer may have served it. A call
// that is cancelled or times out does not close the session, which other calls
// may use; a session without traffic is replaced independently of the call.
func (c *Client) Call(ctx context.Context, address string, request *wire.Request) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	l := c.links.GetOrCreate(address, func() *link { return &link{address: address, key: c.key, dials: &c.dials} })
	connection, err := l.open(ctx)
	if err != nil {
		return nil, connectError(address, err)
	}
	stopProbe := connection.probeAfterDelay(func() { l.replace(connection) })
	reuse := isFrequent(request)
	stream, err := connection.stream(reuse)
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
	if reuse && reusable {
		connection.idle.put(stream, time.Now())
	} else {
		_ = stream.Close()
	}
	if err != nil {
		return nil, exchangeError(address, err)
	}
	stopProbe()
	if response.GetFailure() != nil {
		return nil, wire.ToError(address, response.GetFailure())
	}
	return response, nil
}

// isFrequent reports whether calls of this kind are so frequent that they reuse
// streams. The errors of such calls are less precise: a peer that shuts down
// closes its idle streams, which the caller cannot distinguish from a lost
// response.
func isFrequent(request *wire.Request) bool {
	return request.GetHeartbeat() != nil || request.GetSlots() != nil || request.GetWork() != nil
}

// exchange sends request over stream and reads the response. It aborts when ctx
// ends. reusable reports that the response was read completely, so that the
// stream may carry another call.
func exchange(ctx context.Context, stream *yamux.Stream, request *wire.Request) (response *wire.Response, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	if err := wire.Write(stream, request); err != nil {
		return nil, false, err
	}
	response = &wire.Response{}
	err = wire.Read(stream, response)
	return response, stop() && err == nil, err
}

// exchangeError wraps the error of a call whose request may have been sent.
func exchangeError(address string, err error) error {
	if errors.Is(err, yamux.ErrTimeout) {
		return problem.Wrap(problem.Timeout, problem.StepPeerCall, address, err)
	}
	return problem.Wrap(problem.Interrupted, problem.StepPeerCall, address, err)
}

// connectError wraps the error of a call for which no session was opened.
func connectError(address string, err error) error {
	var known *problem.Error
	if errors.As(err, &known) {
		return known
	}
	return problem.Wrap(problem.Unavailable, problem.StepConnect, address, err)
}

// CloseSessions closes the sessions to address. A later call opens a new one.
func (c *Client) CloseSessions(address string) {
	if l, ok := c.links.Delete(address); ok {
		l.close()
	}
}

// Close closes all sessions and waits until no connection is being opened.
func (c *Client) Close() {
	c.links.Range(func(address string, _ *link) bool {
		c.CloseSessions(address)
		return true
	})
	c.dials.Wait()
}
