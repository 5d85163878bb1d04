package upstream

import (
	"net"
	"sync"
)

// silentConn is a connection that can go silent: what the peer sends is
// dropped, what is written vanishes, and no close reaches the peer.
type silentConn struct {
	net.Conn
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
	forget      func()
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

// Read returns the peer's bytes; on a silent connection it waits for Close.
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

// Write sends p, or drops it on a silent connection.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection; the peer of a silent one learns nothing of it.
func (c *silentConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed); c.forget() })
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}
