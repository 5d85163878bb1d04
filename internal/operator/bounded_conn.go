package operator

import (
	"net"
	"sync"

	"golang.org/x/sync/semaphore"
)

// boundedConn gives its place back when it is closed, once.
type boundedConn struct {
	net.Conn
	room   *semaphore.Weighted
	closed sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.room.Release(1) })
	return err
}
