package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"persimmonbay/internal/problem"
)

// dialTimeout bounds connecting and the handshake together.
const dialTimeout = handshakeTimeout

// link opens and replaces the sessions to one address. mu guards the fields
// below it; it is not held while dialling, so that no call waits longer than its
// own deadline. At any time at most one session accepts new calls and at most
// one is being dialled.
type link struct {
	address string
	key     []byte
	dials   *sync.WaitGroup // the dialling goroutines of all links of a client

	mu       sync.Mutex
	current  *connection
	dialling *dialling
	retired  []*connection // accept no new calls; the peer closes each after its last call
	closed   bool
}

// open returns the open session. If there is none, it dials one and waits for
// it until ctx ends.
func (l *link) open(ctx context.Context) (*connection, error) {
	c, d, err := l.state()
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-d.done:
		return d.connection, d.err
	case <-ctx.Done():
		return nil, problem.Wrap(problem.Unavailable, problem.StepConnect, l.address, ctx.Err())
	}
}

// state returns the open session or, if there is none, the connection attempt
// in progress, which it starts if necessary.
func (l *link) state() (*connection, *dialling, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, problem.New(problem.Unavailable, problem.StepConnect, l.address, "the session to this address was closed")
	}
	if l.current != nil && !l.current.session.IsClosed() {
		return l.current, nil, nil
	}
	if l.dialling == nil {
		l.dialling = &dialling{done: make(chan struct{})}
		d := l.dialling
		l.dials.Go(func() { l.dialOnce(d) })
	}
	return nil, l.dialling, nil
}

// dialOnce runs the connection attempt d and makes its session the current one.
// It closes the session if the link was closed in the meantime.
func (l *link) dialOnce(d *dialling) {
	d.connection, d.err = l.dial()
	l.mu.Lock()
	l.dialling = nil
	discard := l.closed && d.err == nil
	if !l.closed {
		l.current = d.connection
	}
	l.mu.Unlock()
	if discard {
		_ = d.connection.session.Close()
		d.connection, d.err = nil, problem.New(problem.Unavailable, problem.StepConnect, l.address, "the session to this address was closed")
	}
	close(d.done)
}

// dial connects, authenticates both sides and opens a session.
func (l *link) dial() (*connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	if err := handshake(c, l.key, roleDialer, roleListener); err != nil {
		_ = c.Close()
		return nil, err
	}
	live := &activityConn{Conn: c}
	live.lastRead.Store(time.Now().UnixNano())
	session, err := yamux.Client(live, sessionConfig())
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &connection{session: session, conn: live}, nil
}

// retire stops the use of c for new calls because the peer is shutting down.
// Calls in progress over c continue.
func (l *link) retire(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != c {
		return
	}
	l.current = nil
	l.retired = slices.DeleteFunc(l.retired, func(old *connection) bool { return old.session.IsClosed() })
	l.retired = append(l.retired, c)
}

// replace closes c and, if c was the current session, starts to dial a new one.
// Calls in progress over c fail.
func (l *link) replace(c *connection) {
	l.mu.Lock()
	if l.current == c {
		l.current = nil
	}
	l.mu.Unlock()
	_ = c.session.Close()
	_, _, _ = l.state() // starts to dial; the next call waits for the result
}

// close closes all sessions of l. Calls fail from then on.
func (l *link) close() {
	l.mu.Lock()
	open := l.retired
	if l.current != nil {
		open = append(open, l.current)
	}
	l.current, l.retired, l.closed = nil, nil, true
	l.mu.Unlock()
	for _, c := range open {
		_ = c.session.Close()
	}
}
