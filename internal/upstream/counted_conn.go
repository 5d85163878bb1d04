package upstream

import (
	"net"
	"sync/atomic"
)

// countedConn counts the bytes handed to the kernel, so that a failed request
// can be told from one of which no byte left.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write sends p.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
