package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// activityConn is a connection that records when it last received a byte.
type activityConn struct {
	net.Conn
	lastRead atomic.Int64 // Unix time in nanoseconds
}

// Read implements net.Conn.
func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// silentSince reports whether no byte was received after at.
func (c *activityConn) silentSince(at time.Time) bool { return c.lastRead.Load() <= at.UnixNano() }
