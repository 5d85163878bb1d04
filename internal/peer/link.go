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

// dialTimeout bounds connecting and the proof of the key together.
const dialTimeout = handshakeTimeout

// link is the session to one address. mu guards the fields below it; it is not
// held while dialling, so that a call waits no longer than its own deadline. At
// most one session takes calls and one is being dialled.
type link struct {
	address string
	key     []byte
	dials   *sync.WaitGroup // the goroutines of all links of a client

	mu       sync.Mutex
	current  *connection
	dialling *dialling
	retired  []*connection // take no new calls and end once theirs have
	closed   bool
}

// open returns the session, dialling a new one when there is none.
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

// state returns the open session, or else the dialling under way, which it
// begins if need be.
func (l *link) state() (*connection, *dialling, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, problem.New(problem.Unavailable, problem.StepConnect, l.address, "the session was closed")
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

func (l *link) dialOnce(d *dialling) {
	d.connection, d.err = l.dial()
	l.mu.Lock()
	l.dialling = nil
	refused := l.closed && d.err == nil
	if !l.closed {
		l.current = d.connection
	}
	l.mu.Unlock()
	if refused {
		_ = d.connection.session.Close()
		d.connection, d.err = nil, problem.New(problem.Unavailable, problem.StepConnect, l.address, "the session was closed")
	}
	close(d.done)
}

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
	live := &liveConn{Conn: c}
	live.lastRead.Store(time.Now().UnixNano())
	session, err := yamux.Client(live, sessionConfig())
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &connection{session: session, conn: live}, nil
}

// retire takes c out of use and leaves the calls over it to their end: the
// peer is stopping.
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

// replace gives c up, if it is still the one in use, and dials anew at once.
func (l *link) replace(c *connection) {
	l.mu.Lock()
	if l.current == c {
		l.current = nil
	}
	l.mu.Unlock()
	_ = c.session.Close()
	_, _, _ = l.state() // begins to dial; the next call waits for it
}

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
