package latecalls

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"

	. "github.com/onsi/gomega"
)

// Ports below those that the system gives to outgoing connections, so that none of these
// takes one that is to be used again after a restart.
const (
	firstPort = 10000
	lastPort  = 30000
)

// host is a loopback address of this test process, so that runs side by side don't take
// each other's ports.
var host = fmt.Sprintf("127.47.%d.%d", os.Getpid()>>8&255, os.Getpid()&255)

// listen returns a listener on a free port.
func listen() *net.TCPListener {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, firstPort+rand.IntN(lastPort-firstPort))); err == nil {
			return l.(*net.TCPListener)
		}
	}
	Expect(err).NotTo(HaveOccurred())
	return nil
}

// freeAddress returns an address on which nothing listens.
func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// serve serves h on a free port, and returns its address and the server.
func serve(h http.Handler) (string, *http.Server) {
	l := listen()
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends when s is closed
	return l.Addr().String(), s
}

// freePort returns a port on which nothing listens.
func freePort() int {
	l := listen()
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}
