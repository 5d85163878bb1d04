package hostile

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crowdSize is chosen such that bodies of legal size together exceed the memory of the machine.
var crowdSize = 480

const (
	// wholeOneIn is the number of clients of which one sends all of its body.
	wholeOneIn = 10
	// sendTimeout bounds what one client sends, so that a server that stops to read ends no test.
	sendTimeout = 60 * time.Second
)

// crowd is a number of clients that each hold one connection.
type crowd struct {
	connections []net.Conn
	refused     int // connections that were not opened
}

// gather lets clients send an attack to address, all at once, and returns once each has sent
// what it will, or was cut off. Connections stay open until the spec ends, as far as the server
// lets them.
func gather(address string, size int, a attack) *crowd {
	GinkgoHelper()
	c := &crowd{}
	var mu sync.Mutex // guards c
	var clients sync.WaitGroup
	for i := range size {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				c.refused++
				return
			}
			c.connections = append(c.connections, conn)
			clients.Go(func() { a.send(conn, i%wholeOneIn == 0) })
		})
	}
	clients.Wait()
	DeferCleanup(c.close)
	return c
}

func (c *crowd) close() {
	for _, conn := range c.connections {
		_ = conn.Close()
	}
}

// send writes the attack; the server may cut it off.
func (a *attack) send(conn net.Conn, whole bool) {
	_ = conn.SetDeadline(time.Now().Add(sendTimeout)) // fails only on a closed connection
	rest := a.bytes
	if !whole {
		rest = rest[:len(rest)-a.short]
	}
	if _, err := io.WriteString(conn, a.head); err != nil {
		return
	}
	for len(rest) > 0 {
		n := len(rest)
		if a.piece > 0 {
			n = min(n, a.piece)
			time.Sleep(piecePause)
		}
		if _, err := conn.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
}

// expectMet checks that the crowd has reached the process.
func (c *crowd) expectMet() {
	GinkgoHelper()
	Expect(c.connections).NotTo(BeEmpty(), "no client reached the process")
}
