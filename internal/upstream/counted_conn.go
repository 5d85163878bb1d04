package upstream

import (
	"net"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// countedConn is a connection that counts the bytes passed to the kernel, which
// shows whether any byte of a failed request was sent, and records when the
// latest byte was received.
type countedConn struct {
	net.Conn
	clock    clockwork.Clock
	written  atomic.Int64
	lastRead atomic.Int64 // nanoseconds since 1970
}

// Write implements net.Conn. It counts p before the write, since any of it may be
// sent from then on, and takes it off the count when the write fails without
// having sent a byte.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.written.Add(-int64(len(p)))
	}
	return n, err
}

// Read implements net.Conn and records the time when bytes were received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(c.clock.Now().UnixNano())
	}
	return n, err
}
