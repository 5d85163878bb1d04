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

var _ = Describe("streams between calls", func() {
	serve := func(h Handler) (address string, client *Client) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- NewServer(h, testKey, zap.NewNop()).Serve(ctx, l) }()
		client = NewClient("entry-1", testKey, patience)
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

	It("are kept for regular calls, one for calls one after another", func() {
		h := &slowFirstHandler{release: make(chan struct{})}
		close(h.release)
		address, client := serve(h)
		for version := range uint64(5) {
			Expect(beat(context.Background(), client, address, version)).To(Equal(version))
		}
		l, _ := client.links.Get(address)
		Expect(l.current.kept.idle).To(HaveLen(1))
		Expect(l.current.session.NumStreams()).To(Equal(1))
	})

	It("are not kept when the answer may still come", func() {
		h := &slowFirstHandler{release: make(chan struct{})}
		address, client := serve(h)
		ctx, stop := context.WithCancel(context.Background())
		given := make(chan error, 1)
		go func() {
			_, err := beat(ctx, client, address, 1)
			given <- err
		}()
		Eventually(h.calls.Load, patience).Should(BeEquivalentTo(1))
		stop()
		Expect(<-given).To(HaveOccurred())
		close(h.release)
		for version := range uint64(5) {
			Expect(beat(context.Background(), client, address, 10+version)).To(Equal(10 + version))
		}
	})

	It("are not kept for longer than the server waits", func() {
		h := &slowFirstHandler{release: make(chan struct{})}
		close(h.release)
		address, client := serve(h)
		Expect(beat(context.Background(), client, address, 1)).To(BeEquivalentTo(1))
		l, _ := client.links.Get(address)
		Expect(l.current.kept.take(time.Now().Add(keptFor + time.Nanosecond))).To(BeNil())
		Expect(keptFor).To(BeNumerically("<", idleLimit))
	})
})
