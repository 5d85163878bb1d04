package guard

import (
	"errors"
	"net"
	"sync"

	"persimmonbay/internal/readbudget"
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	guard  *Guard
	places *readbudget.Places
	closed chan struct{}
	once   sync.Once // closes closed
}

// Accept implements net.Listener. While the requests of all connections are being served, it
// waits: further clients stay in the kernel's queue.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer) // fails only on a closed connection
	}
	c := &conn{Conn: accepted, guard: l.guard}
	for {
		if account, ok := l.places.Open(l.guard.clock.Now(), c.evict); ok {
			c.account = account
			return c, nil
		}
		select {
		case <-l.places.Freed():
		case <-l.closed:
			return nil, errors.Join(net.ErrClosed, accepted.Close())
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
