package guard

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/readbudget"
)

const patience = 30 * time.Second

var _ = Describe("a guarded server", func() {
	const places = 2
	var limits readbudget.Limits
	var guard *Guard
	var address string
	var logs *observer.ObservedLogs
	var handle http.HandlerFunc
	BeforeEach(func() {
		limits = readbudget.Limits{HeadBytes: 16 << 10}
		handle = func(w http.ResponseWriter, r *http.Request) {
			if _, err := ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusBadRequest)
			}
		}
	})
	JustBeforeEach(func() {
		var core zapcore.Core
		core, logs = observer.New(zap.DebugLevel)
		guard = New(1<<20, func() readbudget.Limits { return limits }, clockwork.NewRealClock(), zap.New(core))
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = inner.Addr().String()
		server := guard.Protect(&http.Server{Handler: handle})
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(guard.Listener(inner, places)) }()
		DeferCleanup(func() { _ = server.Close(); <-done })
	})
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetDeadline(time.Now().Add(patience))).To(Succeed())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	status := func(c net.Conn) int {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	closed := func(c net.Conn) {
		GinkgoHelper()
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
	}
	const get = "GET / HTTP/1.1\r\nHost: a\r\n"

	It("answers requests one after another on a connection, with and without a body", func() {
		c := dial()
		responses := bufio.NewReader(c)
		for _, request := range []string{get + "\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", get + "\r\n"} {
			fmt.Fprint(c, request)
			response, err := http.ReadResponse(responses, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
		Eventually(guard.Counts, patience).Should(Equal(map[string]int64{"heldBytes": 0})) // once the server has noted the response
	})

	It("refuses a head over the limit in force with 431", func() {
		large := get + "X: " + strings.Repeat("x", 32<<10) + "\r\n\r\n"
		c := dial()
		fmt.Fprint(c, large)
		Expect(status(c)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(guard.Counts()).To(HaveKeyWithValue("headTooLarge", int64(1)))
		Expect(logs.FilterMessage("client's connection given up").Len()).To(Equal(1))
	})

	Context("with a higher limit", func() {
		BeforeEach(func() { limits.HeadBytes = 64 << 10 })
		It("takes that head", func() {
			c := dial()
			fmt.Fprint(c, get+"X: "+strings.Repeat("x", 32<<10)+"\r\n\r\n")
			Expect(status(c)).To(Equal(http.StatusOK))
		})
	})

	Context("with short times", func() {
		BeforeEach(func() { limits.HeadTime, limits.IdleTime = 50*time.Millisecond, 100*time.Millisecond })
		It("closes a connection whose head is late, and one without a request", func() {
			slow, idle := dial(), dial()
			fmt.Fprint(slow, get)
			closed(slow)
			closed(idle)
			Expect(guard.Counts()).To(HaveKeyWithValue("headTooSlow", int64(1)))
			Expect(guard.Counts()).To(HaveKeyWithValue("idle", int64(1)))
		})
	})

	Context("whose handler takes longer than a head may", func() {
		BeforeEach(func() {
			limits.HeadTime, limits.IdleTime = 50*time.Millisecond, 50*time.Millisecond
			handle = func(w http.ResponseWriter, r *http.Request) {
				if _, err := ReadAll(r.Body); err != nil {
					return
				}
				select {
				case <-r.Context().Done():
					w.WriteHeader(http.StatusGatewayTimeout)
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
		It("ends no request that is being served", func() {
			plain, whole := dial(), dial()
			fmt.Fprint(plain, get+"\r\n")
			fmt.Fprint(whole, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
			Expect(status(plain)).To(Equal(http.StatusOK))
			Expect(status(whole)).To(Equal(http.StatusOK))
		})
	})

	Context("whose requests are all being served", func() {
		var release chan struct{}
		var served atomic.Int64
		BeforeEach(func() {
			release = make(chan struct{})
			served.Store(0)
			handle = func(http.ResponseWriter, *http.Request) { served.Add(1); <-release }
		})
		It("leaves a connection above its places unserved, and serves it when another is done", func() {
			first, second := dial(), dial()
			fmt.Fprint(first, get+"\r\n")
			fmt.Fprint(second, get+"\r\n")
			Eventually(served.Load, patience).Should(Equal(int64(2)))
			third := dial()
			fmt.Fprint(third, get+"\r\n")
			Consistently(served.Load, "50ms").Should(Equal(int64(2)))
			close(release)
			Expect(status(first)).To(Equal(http.StatusOK))
			Expect(status(third)).To(Equal(http.StatusOK))
		})
	})

	It("closes a waiting connection for a new one", func() {
		first, _, third := dial(), dial(), dial()
		closed(first)
		fmt.Fprint(third, get+"\r\n")
		Expect(status(third)).To(Equal(http.StatusOK))
	})
})

var _ = Describe("ReadAll", func() {
	It("returns what io.ReadAll returns, for any size and split", func() {
		for _, n := range []int{0, 1, firstPiece - 1, firstPiece, firstPiece + 1, 3 * firstPiece, largestPiece, 300_000} {
			data := bytes.Repeat([]byte("0123456789abcdef"), n/16+1)[:n]
			for _, r := range []io.Reader{bytes.NewReader(data), iotest.HalfReader(bytes.NewReader(data)), iotest.DataErrReader(bytes.NewReader(data))} {
				Expect(ReadAll(r)).To(HaveLen(n))
			}
			Expect(ReadAll(bytes.NewReader(data))).To(BeEquivalentTo(append([]byte{}, data...)))
		}
	})
})
