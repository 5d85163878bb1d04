package upstream

import (
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// sendTrace records whether a byte of one request was sent, and on which
// connection. mu guards the fields below it; http.Transport calls gotConn from
// its own goroutines.
type sendTrace struct {
	clock         clockwork.Clock
	mu            sync.Mutex
	conn          *countedConn
	writtenBefore int64     // bytes written to conn before the request
	connectedAt   time.Time // when the request got conn
	reused        bool      // conn served an earlier request
	sent          bool      // a byte of the request may have been sent
}

// clientTrace returns the hooks for http.Transport.
func (t *sendTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn is called for each connection on which the transport tries the request.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	t.connectedAt, t.reused = t.clock.Now(), info.Reused
	if c, ok := info.Conn.(*countedConn); ok {
		t.conn, t.writtenBefore = c, c.written.Load()
		return
	}
	t.sent = true // the bytes on another type of connection are not counted
}

// update sets sent when bytes were written to conn.
func (t *sendTrace) update() {
	if t.conn != nil && t.conn.written.Load() != t.writtenBefore {
		t.sent = true
	}
}

// anySent reports whether a byte of the request may have been sent.
func (t *sendTrace) anySent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
	return t.sent
}

// onReused reports whether the latest connection was a reused one.
func (t *sendTrace) onReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// progress returns when the request got its connection or, if later, when the
// latest byte was received on it. It is zero while there is no connection.
func (t *sendTrace) progress() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return time.Time{}
	}
	if read := time.Unix(0, t.conn.lastRead.Load()); read.After(t.connectedAt) {
		return read
	}
	return t.connectedAt
}
