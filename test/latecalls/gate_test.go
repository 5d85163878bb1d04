package latecalls

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// gate is a listener that can be cut off: no connection opens meanwhile, as the opening
// packets get no answer. mu guards whole and fillers.
type gate struct {
	*net.TCPListener
	closed chan struct{}

	mu      sync.Mutex
	whole   chan struct{} // closed while the gate is not cut off
	fillers []net.Conn    // they fill the queue of new connections
}

func newGate(l *net.TCPListener) *gate {
	g := &gate{TCPListener: l, closed: make(chan struct{}), whole: make(chan struct{})}
	close(g.whole)
	return g
}

// Accept returns the next connection that was opened, once the gate is not cut off.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.TCPListener.Accept()
	if err == nil && !g.await() {
		_ = conn.Close() // the listener is closed
		return nil, net.ErrClosed
	}
	return conn, err
}

// await waits until the gate is not cut off; false if it is closed before.
func (g *gate) await() bool {
	g.mu.Lock()
	whole := g.whole
	g.mu.Unlock()
	select {
	case <-whole:
		return true
	case <-g.closed:
		return false
	}
}

// Close closes the listener.
func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.closed:
		return nil
	default:
	}
	close(g.closed)
	for _, conn := range g.fillers {
		_ = conn.Close()
	}
	return g.TCPListener.Close()
}

const (
	usualQueue  = 128
	fillTimeout = 30 * time.Millisecond // many times what an opening takes while the queue has room
	mostFillers = 5
)

// cut cuts the gate off: it shortens the queue of new connections and fills it.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.whole = make(chan struct{})
	g.setQueue(0)
	for range mostFillers {
		conn, err := net.DialTimeout("tcp", g.Addr().String(), fillTimeout)
		if err != nil {
			return
		}
		g.fillers = append(g.fillers, conn)
	}
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.fillers {
		_ = conn.Close()
	}
	g.fillers = nil
	g.setQueue(usualQueue)
	close(g.whole)
}

// setQueue sets how many connections the system opens before they are accepted.
func (g *gate) setQueue(length int) {
	raw, err := g.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) }) // a closed one opens none
	}
}
