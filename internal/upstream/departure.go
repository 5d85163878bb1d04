package upstream

import (
	"net/http/httptrace"
	"sync"
)

// departure watches whether a byte of one request left. mu guards the fields;
// the transport calls back from its own goroutines.
type departure struct {
	mu    sync.Mutex
	conn  *countedConn
	start int64
	left  bool
}

func (d *departure) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: d.gotConn}
}

// gotConn is called once for each connection the transport tries.
func (d *departure) gotConn(info httptrace.GotConnInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle()
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
