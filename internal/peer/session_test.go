package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// specTimeout bounds each wait for a condition. It is long because the machine
// may be busy.
const specTimeout = 30 * time.Second

// recoveryLimit bounds the time until a silent session is replaced.
const recoveryLimit = 2 * time.Second

// largeDeployment is the number of entries of the users' large deployment.
const largeDeployment = 147

var testKey = []byte("test-peer-key-0123456789")

var _ = Describe("a session", func() {
	var (
		handler *blockingHandler
		server  string
		stop    context.CancelFunc
		client  *Client
	)

	BeforeEach(func() {
		handler = &blockingHandler{started: make(chan struct{}, 8), release: make(chan struct{})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server = l.Addr().String()
		ctx, cancel := context.WithCancel(context.Background())
		stop = cancel
		served := make(chan error, 1)
		go func() { served <- NewServer(handler, testKey, zap.NewNop()).Serve(ctx, l) }()
		client = NewClient("entry-1", testKey, specTimeout)
		DeferCleanup(func() {
			client.Close()
			cancel()
			Expect(<-served).To(Succeed())
		})
	})

	heartbeat := func(ctx context.Context, address string) error {
		_, err := client.Call(ctx, address, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
		return err
	}
	blocked := func(ctx context.Context, address string) error {
		_, err := client.Call(ctx, address, &wire.Request{Body: &wire.Request_Configuration{Configuration: &wire.ConfigurationRequest{}}})
		return err
	}
	within := func(d time.Duration, call func(context.Context, string) error, address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		return call(ctx, address)
	}

	It("that goes silent is given up and replaced within 2 s", func() {
		r := startRelay(server)
		Expect(heartbeat(context.Background(), r.address())).To(Succeed())
		inFlight := make(chan error, 1)
		go func() { inFlight <- blocked(context.Background(), r.address()) }()
		Eventually(handler.started, specTimeout).Should(Receive())
		r.silence()
		silent := time.Now()
		Expect(heartbeat(context.Background(), r.address())).NotTo(Succeed())
		Expect(heartbeat(context.Background(), r.address())).To(Succeed())
		Expect(time.Since(silent)).To(BeNumerically("<", recoveryLimit))
		Expect(r.connections()).To(Equal(2))
		var err error
		Eventually(inFlight, specTimeout).Should(Receive(&err))
		Expect(problem.KindOf(err)).To(Equal(problem.Interrupted))
		close(handler.release)
	})

	It("that goes silent is replaced even if every call has a short deadline", func() {
		r := startRelay(server)
		Expect(heartbeat(context.Background(), r.address())).To(Succeed())
		r.silence()
		Eventually(func() error { return within(50*time.Millisecond, heartbeat, r.address()) }, recoveryLimit, time.Millisecond).Should(Succeed())
		close(handler.release)
	})

	// A deployment of 147 entries: each calls the owner of each pool, and an owner refused
	// all but 64 of them.
	It("is open to each of the entries of a large deployment at the same time", func() {
		close(handler.release)
		for i := range largeDeployment {
			other := NewClient(fmt.Sprint("entry-", i), testKey, specTimeout)
			DeferCleanup(other.Close)
			_, err := other.Call(context.Background(), server, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
			Expect(err).NotTo(HaveOccurred(), "entry %d", i)
		}
	})

	It("stays open until its calls have ended when the server stops", func() {
		inFlight := make(chan error, 1)
		go func() { inFlight <- blocked(context.Background(), server) }()
		Eventually(handler.started, specTimeout).Should(Receive())
		stop()
		Eventually(func() error { return heartbeat(context.Background(), server) }, specTimeout).ShouldNot(Succeed())
		close(handler.release)
		Expect(<-inFlight).To(Succeed())
	})

	It("stays open after a call that times out", func() {
		inFlight := make(chan error, 1)
		go func() { inFlight <- blocked(context.Background(), server) }()
		Eventually(handler.started, specTimeout).Should(Receive())
		Expect(problem.KindOf(within(20*time.Millisecond, blocked, server))).To(Equal(problem.Timeout))
		close(handler.release)
		Expect(<-inFlight).To(Succeed())
	})

	It("stays open while the peer is slow to answer a call", func() {
		r := startRelay(server)
		inFlight := make(chan error, 1)
		go func() { inFlight <- blocked(context.Background(), r.address()) }()
		Consistently(inFlight, 2*silenceLimit).ShouldNot(Receive())
		close(handler.release)
		Expect(<-inFlight).To(Succeed())
		Expect(r.connections()).To(Equal(1))
	})

	It("that is being opened delays no call beyond its deadline", func() {
		silentServer, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
		Expect(err).NotTo(HaveOccurred())
		defer silentServer.Close()
		done := make(chan error, 8)
		start := time.Now()
		for range cap(done) {
			go func() { done <- within(50*time.Millisecond, heartbeat, silentServer.Addr().String()) }()
		}
		for range cap(done) {
			Expect(problem.KindOf(<-done)).To(Equal(problem.Unavailable))
		}
		Expect(time.Since(start)).To(BeNumerically("<", handshakeTimeout/2))
		close(handler.release)
	})

	It("is refused to a client with another key", func() {
		other := NewClient("entry-2", []byte("another-key-of-16-b"), specTimeout)
		defer other.Close()
		_, err := other.Call(context.Background(), server, &wire.Request{})
		Expect(err).To(HaveOccurred())
		Expect(problem.KindOf(err)).To(BeElementOf(problem.Unauthorized, problem.Unavailable))
		close(handler.release)
	})
})
