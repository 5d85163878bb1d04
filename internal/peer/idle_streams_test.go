package peer

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/peer/wire"
)

var _ = Describe("idle streams", func() {
	serve := func(h Handler) (address string, client *Client) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- NewServer(h, testKey, zap.NewNop()).Serve(ctx, l) }()
		client = NewClient("entry-1", testKey, specTimeout)
		DeferCleanup(func() {
			stop()
			Expect(<-served).To(Succeed())
			client.Close()
		})
		return l.Addr().String(), client
	}
	beat := func(ctx context.Context, c *Client, address string, version uint64) (uint64, error) {
		r, err := c.Call(ctx, address, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{ConfigurationVersion: version}}})
		return r.GetHeartbeat().GetConfigurationVersion(), err
	}

	It("are reused by frequent calls, so that sequential calls need one stream", func() {
		h := &slowFirstHandler{release: make(chan struct{})}
		close(h.release)
		address, client := serve(h)
		for version := range uint64(5) {
			Expect(beat(context.Background(), client, address, version)).To(Equal(version))
		}
		l, _ := client.links.Get(address)
		Expect(l.current.idle.streams).To(HaveLen(1))
		Expect(l.current.session.NumStreams()).To(Equal(1))
	})

	It("do not include a stream on which a response is outstanding", func() {
		h := &slowFirstHandler{release: make(chan struct{})}
		address, client := serve(h)
		ctx, stop := context.WithCancel(context.Background())
		callErr := make(chan error, 1)
		go func() {
			_, err := beat(ctx, client, address, 1)
			callErr <- err
		}()
		Eventually(h.calls.Load, specTimeout).Should(BeEquivalentTo(1))
		stop()
		Expect(<-callErr).To(HaveOccurred())
		close(h.release)
		for version := range uint64(5) {
			Expect(beat(context.Background(), client, address, 10+version)).To(Equal(10 + version))
		}
	})

	It("are not reused after the client's timeout, which is shorter than the server's", func() {
		h := &slowFirstHandler{release: make(chan struct{})}
		close(h.release)
		address, client := serve(h)
		Expect(beat(context.Background(), client, address, 1)).To(BeEquivalentTo(1))
		l, _ := client.links.Get(address)
		Expect(l.current.idle.take(time.Now().Add(clientIdleTimeout + time.Nanosecond))).To(BeNil())
		Expect(clientIdleTimeout).To(BeNumerically("<", serverIdleTimeout))
	})
})
