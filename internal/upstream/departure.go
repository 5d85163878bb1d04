package upstream

import (
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// departure watches whether a byte of one request left, and over which
// connection. mu guards the fields below it; the transport calls back from its
// own goroutines.
type departure struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	conn   *countedConn
	start  int64 // bytes that conn had written before
	got    time.Time
	reused bool
	left   bool
}

func (d *departure) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: d.gotConn}
}

// gotConn is called once for each connection the transport tries.
func (d *departure) gotConn(info httptrace.GotConnInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle()
	d.got, d.reused = d.clock.Now(), info.Reused
	if c, ok := info.Conn.(*countedConn); ok {
		d.conn, d.start = c, c.written.Load()
		return
	}
	d.left = true // an unknown connection: assume the worst
}

func (d *departure) settle() {
	if d.conn != nil && d.conn.written.Load() != d.start {
		d.left = true
	}
}

// happened reports whether a byte left.
func (d *departure) happened() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle()
	return d.left
}

// onReused reports whether the latest connection was a kept one.
func (d *departure) onReused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reused
}

// progress returns when the request's connection last made progress: it was
// taken, or a byte came. It is zero while there is no connection.
func (d *departure) progress() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return time.Time{}
	}
	if read := time.Unix(0, d.conn.lastRead.Load()); read.After(d.got) {
		return read
	}
	return d.got
}
