package peer

import (
	"context"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
)

// link is the session to one address. mu guards session: at most one is open.
type link struct {
	address string
	key     []byte
	mu      sync.Mutex
	session *yamux.Session
}

// open returns the session, dialling a new one when there is none.
func (l *link) open(ctx context.Context) (*yamux.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	session, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	l.session = session
	return session, nil
}

func (l *link) dial(ctx context.Context) (*yamux.Session, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	if err := handshake(c, l.key, roleDialer, roleListener); err != nil {
		_ = c.Close()
		return nil, err
	}
	return yamux.Client(c, sessionConfig())
}

// drop closes the session if it is still the one in use, so that the next
// call dials anew.
func (l *link) drop(session *yamux.Session) {
	l.mu.Lock()
	if l.session == session {
		l.session = nil
	}
	l.mu.Unlock()
	_ = session.Close()
}

func (l *link) close() {
	l.mu.Lock()
	session := l.session
	l.session = nil
	l.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}
