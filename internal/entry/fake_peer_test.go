package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
)

// fakePeer is another entry with one configuration version in force.
type fakePeer struct {
	id      membership.EntryID
	version configuration.Version
	source  []byte
	knows   []*fakePeer
	address string
	blocked <-chan struct{} // heartbeats are answered once it is closed; nil: at once
}

// serve answers calls that are authenticated with key until the spec ends.
func (p *fakePeer) serve(key string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p.address = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = peer.NewServer(p, []byte(key), zap.NewNop()).Serve(ctx, listener) })
	ginkgo.DeferCleanup(func() { stop(); serving.Wait() })
}

func (p *fakePeer) registration() membership.Registration {
	return membership.Registration{ID: p.id, PeerAddress: p.address}
}

// Handle implements peer.Handler.
func (p *fakePeer) Handle(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	switch request.GetBody().(type) {
	case *wire.Request_Heartbeat:
		if p.blocked != nil {
			select {
			case <-p.blocked:
			case <-ctx.Done():
			}
		}
		own := membership.Heartbeat{Entry: p.id, ConfigurationVersion: p.version, Incarnation: 1}
		return &wire.Response{Body: &wire.Response_Heartbeat{Heartbeat: wire.FromHeartbeat(own, time.Now())}}, nil
	case *wire.Request_Members:
		known := []membership.Registration{p.registration()}
		for _, other := range p.knows {
			known = append(known, other.registration())
		}
		return &wire.Response{Body: &wire.Response_Members{Members: wire.FromRegistrations(known)}}, nil
	}
	return &wire.Response{Body: &wire.Response_Configuration{Configuration: &wire.Configuration{Version: uint64(p.version), Source: p.source}}}, nil
}
