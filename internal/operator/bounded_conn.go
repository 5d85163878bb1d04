package operator

import (
	"net"
	"sync"

	"golang.org/x/sync/semaphore"
)

// boundedConn is a connection that counts towards the limit of a
// boundedListener until it is closed.
type boundedConn struct {
	net.Conn
	open   *semaphore.Weighted
	closed sync.Once
}

// Close implements net.Conn. The first call releases the connection's share of
// the limit.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.open.Release(1) })
	return err
}
