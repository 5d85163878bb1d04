package guard

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"persimmonbay/internal/readbudget"
)

const (
	// receiveBuffer bounds what the kernel holds of a client's bytes before they are read.
	receiveBuffer = 64 << 10
	// writeStall bounds how long a client may take no byte of a response.
	writeStall = 30 * time.Second
	// lingering is how long a refused client may take to read the refusal. Closing at once would
	// reset the connection, and with it what the client has not read.
	lingering = 500 * time.Millisecond
)

// headRefusal is the response to a head that is too large. The request has not run.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// errRefused ends the reading of a refused request. net/http sends no response after it.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// conn reports what arrives to its account and keeps the deadlines of the account beside those
// of the server. mu guards external and own.
type conn struct {
	net.Conn
	guard   *Guard
	account *readbudget.Account
	late    sync.Once // net/http may read again after a deadline

	mu       sync.Mutex
	external time.Time // as the server set it
	own      time.Time // of the account
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	late := c.refresh()
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := c.guard.clock.Now()
		if c.account.Received(now, n, c.guard.limits()) == readbudget.HeadTooLarge {
			c.refuseHead()
			return 0, errRefused
		}
		c.guard.budget.Relieve(now)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.ownPassed() {
		c.late.Do(func() { c.guard.events.add(late, c.RemoteAddr().String()) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn for the server's own deadlines.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.external = t
	return c.Conn.SetReadDeadline(earlier(c.external, c.own))
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// CloseWrite has net/http close a refused connection without resetting it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Admit records that a peer is authenticated, as for a request that is whole.
func (c *conn) Admit() bool { return c.serve() }

// refresh sets the deadline of the account's phase, also for a read in progress, and returns the
// cause if it passes.
func (c *conn) refresh() readbudget.Cause {
	limits := c.guard.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline, late := c.account.Deadline(limits) // with mu held, so that no earlier phase's replaces it
	c.own = deadline
	_ = c.Conn.SetReadDeadline(earlier(c.external, c.own)) // fails only on a closed connection
	return late
}

func (c *conn) ownPassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.own.IsZero() && !time.Now().Before(c.own)
}

// evict closes the connection for its account.
func (c *conn) evict(cause readbudget.Cause) {
	c.guard.events.add(cause, c.RemoteAddr().String())
	_ = c.Conn.Close()
}

func (c *conn) refuseHead() {
	c.guard.events.add(readbudget.HeadTooLarge, c.RemoteAddr().String())
	_, _ = c.Write([]byte(headRefusal)) // the client may be gone
	if c.CloseWrite() == nil {
		c.guard.clock.Sleep(lingering)
	}
}

// earlier returns the earlier of two times, where zero stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// serve records that the request is whole and lifts the deadline of the read in progress. It
// returns false if the connection was given up before.
func (c *conn) serve() bool {
	if !c.account.Serve(c.guard.clock.Now()) {
		return false
	}
	c.refresh()
	return true
}
