package peer

import (
	"context"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/peer/wire"
)

var _ = Describe("an unexpected error while one call of a peer is served", func() {
	// One malformed message or unexpected error took a whole process down.
	It("ends that call alone, with one line in the log", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		core, logs := observer.New(zapcore.ErrorLevel)
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- NewServer(panickingHandler{}, testKey, zap.New(core)).Serve(ctx, l) }()
		client := NewClient("entry-1", testKey, specTimeout)
		DeferCleanup(func() {
			client.Close()
			cancel()
			Eventually(served, specTimeout).Should(Receive(Succeed()), "no call counts as still in progress")
		})
		call := func(r *wire.Request) error {
			_, err := client.Call(ctx, l.Addr().String(), r)
			return err
		}
		heartbeat := &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
		Expect(call(heartbeat)).To(Succeed())
		Expect(call(&wire.Request{Body: &wire.Request_Configuration{Configuration: &wire.ConfigurationRequest{}}})).NotTo(Succeed())
		Expect(call(heartbeat)).To(Succeed())
		Expect(logs.All()).To(HaveLen(1))
	})
})
