package peer

import (
	"context"
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay forwards connections to a target and can silence the open ones for good:
// it still reads their bytes, but discards them. mu guards silent and accepted.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   chan struct{} // closed to silence the connections accepted so far
	accepted int
}

func startRelay(target string) *relay {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, target: target, silent: make(chan struct{})}
	var serving sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			silent := r.silent
			r.accepted++
			r.mu.Unlock()
			serving.Go(func() { r.forward(ctx, c, silent) })
		}
	})
	DeferCleanup(func() {
		_ = l.Close()
		cancel()
		serving.Wait()
	})
	return r
}

func (r *relay) forward(ctx context.Context, c net.Conn, silent chan struct{}) {
	defer c.Close()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	defer context.AfterFunc(ctx, func() {
		_ = c.Close()
		_ = target.Close()
	})()
	var pumps sync.WaitGroup
	pumps.Go(func() { pump(target, c, silent) })
	pumps.Go(func() { pump(c, target, silent) })
	pumps.Wait()
}

// pump copies until either side closes. On a silenced connection it reads and
// discards, and does not forward the close either.
func pump(to, from net.Conn, silent chan struct{}) {
	part := make([]byte, 4<<10)
	for {
		n, err := from.Read(part)
		select {
		case <-silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err == nil {
			_, err = to.Write(part[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence silences the connections that are open now; later ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

func (r *relay) address() string { return r.listener.Addr().String() }
