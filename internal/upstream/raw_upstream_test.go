package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawUpstream is an upstream that answers each request with the bytes that the
// test chooses. mu guards seen.
type rawUpstream struct {
	listener net.Listener
	// answer writes to c the answer to the n-th request of a connection and
	// reports whether the connection stays open.
	answer func(c net.Conn, n int, r *http.Request) (staysOpen bool)

	mu   sync.Mutex
	seen []string // request IDs
}

func startRaw(answer func(c net.Conn, n int, r *http.Request) bool) *rawUpstream {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &rawUpstream{listener: l, answer: answer}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { u.serve(c) })
		}
	})
	DeferCleanup(func() {
		_ = l.Close()
		serving.Wait()
	})
	return u
}

func (u *rawUpstream) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.RequestURI != "*" {
			u.mu.Lock()
			u.seen = append(u.seen, r.Header.Get(headerRequestID))
			u.mu.Unlock()
		}
		if !u.answer(c, n, r) {
			return
		}
	}
}

func (u *rawUpstream) requests() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.seen...)
}

func (u *rawUpstream) address() string { return u.listener.Addr().String() }

// answerWith answers every request with text, and closes the connection unless
// staysOpen is set.
func answerWith(text string, staysOpen bool) func(net.Conn, int, *http.Request) bool {
	return func(c net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(c, text)
		return staysOpen
	}
}
