package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/telemetry"
)

// maxTestBody is the largest request body in these tests, in bytes.
const maxTestBody = 1 << 10

// serveResult starts a server that answers every request with result().
func serveResult(result func() request.Result) *httptest.Server {
	server := httptest.NewServer(NewServer(fixedRequests(func(*request.Request) request.Result { return result() }),
		telemetry.NewMetrics(), clockwork.NewRealClock(), maxTestBody, zap.NewNop()).Handler())
	DeferCleanup(server.Close)
	return server
}

// rawAnswer sends request as it is and reads the answer's header, and then its
// body up to the end of the connection, as an HTTP/1.0 caller does.
func rawAnswer(address, request string) (header string, body []byte, err error) {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, request)
	Expect(err).NotTo(HaveOccurred())
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return header, nil, err
		}
		header += line
		if line == "\r\n" {
			break
		}
	}
	body, err = io.ReadAll(in)
	return header, body, err
}

var _ = Describe("an answer", func() {
	brokenAfter := func(n int, length int64) func() request.Result {
		return func() request.Result {
			return request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 200, Body: []byte("head"), Remainder: &brokenBody{left: n}, Length: length}}
		}
	}

	DescribeTable("that breaks off ends in a broken connection",
		func(protocol string, length int64) {
			server := serveResult(brokenAfter(100000, length))
			_, body, err := rawAnswer(server.Listener.Addr().String(), "GET /tags/1 "+protocol+"\r\nHost: h\r\nConnection: close\r\n\r\n")
			whole := err == nil && strings.HasSuffix(string(body), "0\r\n\r\n") || err == nil && protocol == "HTTP/1.0"
			Expect(whole).To(BeFalse(), "%d bytes, error %v", len(body), err)
			Expect(err).To(HaveOccurred())
		},
		Entry("HTTP/1.1 with a length", "HTTP/1.1", int64(200000)),
		Entry("HTTP/1.1 without a length", "HTTP/1.1", int64(-1)),
		Entry("HTTP/1.0 with a length", "HTTP/1.0", int64(200000)),
		Entry("HTTP/1.0 without a length", "HTTP/1.0", int64(-1)),
	)

	It("reaches a caller of HTTP/1.0 completely and ends its connection in order", func() {
		server := serveResult(func() request.Result {
			return request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 200, Body: []byte("head"), Remainder: io.NopCloser(strings.NewReader("rest")), Length: -1}}
		})
		_, body, err := rawAnswer(server.Listener.Addr().String(), "GET /tags/1 HTTP/1.0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("headrest"))
	})

	DescribeTable("names the length it has",
		func(method string, answer request.Answer, length string) {
			server := serveResult(func() request.Result { return request.Result{Outcome: fleet.Completed, Answer: answer} })
			r, err := http.NewRequest(method, server.URL+"/tags/1", nil)
			Expect(err).NotTo(HaveOccurred())
			response, err := server.Client().Do(r)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.Header.Get("Content-Length")).To(Equal(length))
			Expect(response.Header.Get(headerOutcome)).To(Equal("completed"))
		},
		Entry("HEAD", "HEAD", request.Answer{Status: 200, Length: 4000}, "4000"),
		Entry("HEAD without a length", "HEAD", request.Answer{Status: 200, Length: -1}, ""),
		Entry("204", "GET", request.Answer{Status: 204, Length: 0}, ""),
		Entry("304", "GET", request.Answer{Status: 304, Length: -1}, ""),
		Entry("empty", "GET", request.Answer{Status: 200, Length: 0}, "0"),
		Entry("500 of the upstream", "GET", request.Answer{Status: 500, Body: []byte("no"), Length: 2}, "2"),
	)

	It("cannot override the outcome or the length by its fields", func() {
		server := serveResult(func() request.Result {
			return request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 200, Length: 4, Body: []byte("four"),
				Fields: []request.Field{{Name: "Content-Length", Value: "2"}, {Name: headerOutcome, Value: "not-run"}}}}
		})
		response, err := server.Client().Get(server.URL + "/tags/1")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("four"))
		Expect(response.Header.Values(headerOutcome)).To(Equal([]string{"completed"}))
	})

	It("of the entry itself contains the step, the peer and the outcome", func() {
		server := serveResult(func() request.Result {
			return request.Result{Outcome: fleet.Unknown, Err: problem.New(problem.Timeout, problem.StepReceive, "tags-1", "late")}
		})
		response, err := server.Client().Get(server.URL + "/tags/1")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(response.Header.Get(headerOutcome)).To(Equal("unknown"))
		Expect(string(body)).To(And(ContainSubstring(`"step":"receive"`), ContainSubstring(`"peer":"tags-1"`)))
	})

	It("to a body larger than allowed reports that nothing ran", func() {
		server := serveResult(func() request.Result { panic("served") })
		response, err := server.Client().Post(server.URL+"/tags/1", "text/plain", strings.NewReader(fmt.Sprintf("%*d", maxTestBody+1, 1)))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(response.Header.Get(headerOutcome)).To(Equal("not-run"))
	})
})
