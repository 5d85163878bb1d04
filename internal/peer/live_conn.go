package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// liveConn notes when the peer's latest byte came.
type liveConn struct {
	net.Conn
	lastRead atomic.Int64 // nanoseconds since 1970
}

// Read receives into p.
func (c *liveConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// silentSince reports whether no byte came after at.
func (c *liveConn) silentSince(at time.Time) bool { return c.lastRead.Load() <= at.UnixNano() }
