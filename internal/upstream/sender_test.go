package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// answerFirst answers the first request on each connection, and reads the second
// one and closes the connection.
func answerFirst(c net.Conn, n int, _ *http.Request) bool {
	if n > 1 {
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

var _ = Describe("sending a request", func() {
	for _, key := range []request.Key{"", "019ae4a0-0000-7000-8000-000000000001"} {
		for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST", "PUT"} {
			for _, body := range []string{"", "body"} {
				It(fmt.Sprintf("writes %s with key %q and body %q once on connections that break", method, key, body), func() {
					u := startRaw(answerFirst)
					s := newSender()
					for i := range 6 {
						// Requests with a key use fresh connections. The test sends
						// them on pooled ones, to check that they are not repeated
						// there either.
						r := &request.Request{ID: fmt.Sprint(i), Method: method, Path: "/", Key: key, Body: []byte(body)}
						e := s.endpoints.GetOrCreate(u.address(), func() *endpoint { return newEndpoint(u.address(), s.clock) })
						_, _, err := s.sendOver(context.Background(), e, e.pooled, instanceAt(u.address()), service, r)
						if err != nil {
							Expect(problem.KindOf(err)).To(Equal(problem.Interrupted))
						}
						Expect(u.requests()).To(HaveLen(i + 1))
					}
				})
			}
		}
	}

	It("returns an error of kind Unavailable when no byte was sent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = newSender().Send(context.Background(), instanceAt(l.Addr().String()), service, get("r"))
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable))
	})

	It("uses a fresh connection for each request with a key", func() {
		u := startRaw(answerFirst)
		s := newSender()
		for i := range 5 {
			_, err := s.Send(context.Background(), instanceAt(u.address()), service, &request.Request{ID: fmt.Sprint(i), Method: "POST", Path: "/", Key: "019ae4a0-0000-7000-8000-000000000001"})
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
