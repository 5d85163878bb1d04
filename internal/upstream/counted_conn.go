package upstream

import (
	"net"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// countedConn counts the bytes handed to the kernel, so that a failed request
// can be told from one of which no byte left, and notes when the peer's latest
// byte came.
type countedConn struct {
	net.Conn
	clock    clockwork.Clock
	written  atomic.Int64
	lastRead atomic.Int64 // nanoseconds since 1970
}

// Write sends p. The bytes count from the moment at which they may leave; they
// count no more once it is known that none did.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.written.Add(-int64(len(p)))
	}
	return n, err
}

// Read receives into p.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(c.clock.Now().UnixNano())
	}
	return n, err
}
