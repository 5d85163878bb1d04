package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// wholeBytes is the size up to which the answers in these tests are read whole.
const wholeBytes = 64

// eventuallyTimeout is how long a condition may take to become true on a busy
// machine.
const eventuallyTimeout = 30 * time.Second

var service = &configuration.Service{Name: "tags", Timeout: eventuallyTimeout, SilenceLimit: eventuallyTimeout}

func newSender() *Sender { return newSenderOf(wholeBytes) }

func newSenderOf(wholeBytes int64) *Sender {
	s := NewSender(wholeBytes, clockwork.NewRealClock(), func(string) {})
	DeferCleanup(s.Close)
	return s
}

func instanceAt(address string) fleet.Instance {
	return fleet.Instance{ID: "tags-1", Kind: fleet.KindUpstream, Service: "tags", Address: address, State: fleet.Live}
}

func get(id string) *request.Request {
	return &request.Request{ID: id, Method: http.MethodGet, Path: "/8812"}
}

var _ = Describe("answers", func() {
	DescribeTable("are returned whole with their length",
		func(method, text, body string, length int) {
			u := startRaw(answerWith(text, true))
			answer, err := newSender().Send(context.Background(), instanceAt(u.address()), service, &request.Request{ID: "r", Method: method, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Remainder).To(BeNil())
			Expect(string(answer.Body)).To(Equal(body))
			Expect(answer.Length).To(BeEquivalentTo(length))
			for _, f := range answer.Fields {
				Expect(f.Name).NotTo(BeElementOf("Content-Length", "Transfer-Encoding", "Trailer"))
			}
		},
		Entry("with a length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "four", 4),
		Entry("in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "four", 4),
		Entry("in chunks with a trailer, which is dropped", "GET", "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nSum: 9\r\n\r\n", "four", 4),
		Entry("to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n", "", 4000),
		Entry("to HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", -1),
		Entry("204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", -1),
		Entry("304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "", -1),
		Entry("after an early hint", "GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "four", 4),
	)

	DescribeTable("are refused when they may be truncated",
		func(text string) {
			u := startRaw(answerWith(text, false))
			_, err := newSender().Send(context.Background(), instanceAt(u.address()), service, get("r"))
			Expect(problem.KindOf(err)).To(Equal(problem.Interrupted))
		},
		Entry("shorter than their length", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nfour"),
		Entry("without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n"),
		Entry("ended by the connection alone", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfour"),
		Entry("of HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n\r\nfour"),
		Entry("with two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfours"),
		Entry("truncated in the header", "HTTP/1.1 200 OK\r\nContent-Le"),
	)

	It("are returned without hop-by-hop fields and those that only an entry may set", func() {
		u := startRaw(answerWith("HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nPersimmonbay-Replayed: true\r\nPersimmonbay-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", true))
		answer, err := newSender().Send(context.Background(), instanceAt(u.address()), service, get("r"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Fields).To(Equal([]request.Field{{Name: "X-End", Value: "2"}}))
	})

	It("can be read on after the end of the request's context when they are large", func() {
		body := strings.Repeat("x", 4<<20)
		u := startRaw(answerWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
		ctx, cancel := context.WithCancel(context.Background())
		answer, err := newSender().Send(ctx, instanceAt(u.address()), service, get("r"))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		rest, err := io.ReadAll(answer.Remainder)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Remainder.Close()).To(Succeed())
		Expect(len(answer.Body) + len(rest)).To(Equal(len(body)))
	})

	It("end in an error when they are large and truncated", func() {
		u := startRaw(answerWith("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"+strings.Repeat("x", 500), false))
		answer, err := newSender().Send(context.Background(), instanceAt(u.address()), service, get("r"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Length).To(BeEquivalentTo(1000))
		_, err = io.ReadAll(answer.Remainder)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		_ = answer.Remainder.Close()
	})

	It("are matched to their own requests when they are late", func() {
		// The upstream answers each late request only after its caller has given
		// up, while other requests are in progress.
		held := map[string]chan struct{}{"late-0": make(chan struct{}), "late-1": make(chan struct{}), "late-2": make(chan struct{}), "late-3": make(chan struct{})}
		u := startRaw(func(c net.Conn, _ int, r *http.Request) bool {
			id := r.Header.Get(headerRequestID)
			if release, late := held[id]; late {
				<-release
			}
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			return err == nil
		})
		s := newSender()
		for i := range 20 {
			if i%5 == 0 {
				late := fmt.Sprintf("late-%d", i/5)
				ctx, cancel := context.WithCancel(context.Background())
				failed := make(chan error, 1)
				go func() {
					_, err := s.Send(ctx, instanceAt(u.address()), service, get(late))
					failed <- err
				}()
				Eventually(u.requests, eventuallyTimeout).Should(ContainElement(late))
				cancel()
				Expect(<-failed).To(HaveOccurred())
				close(held[late])
			}
			id := fmt.Sprintf("r%d", i)
			answer, err := s.Send(context.Background(), instanceAt(u.address()), service, get(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal(id))
		}
	})
})
