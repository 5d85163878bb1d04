package upstream

import (
	"net"
	"sync"
)

// silentConn is a connection that can be made silent: then data is dropped in both
// directions, and the peer does not see that the connection is closed.
type silentConn struct {
	net.Conn
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
	untrack     func()
}

func (c *silentConn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read returns the peer's data. On a silent connection it drops the data and
// returns net.ErrClosed after Close.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.isSilent() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write sends p. On a silent connection it drops p and reports success.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent one stays open towards the peer.
func (c *silentConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed); c.untrack() })
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}
