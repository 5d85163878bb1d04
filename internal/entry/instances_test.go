package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer"
)

var _ = ginkgo.Describe("the list of instances fetched from a peer", func() {
	list := func(change string) []fleet.Instance {
		instances := make([]fleet.Instance, 20)
		for i := range instances {
			instances[i] = fleet.Instance{ID: fmt.Sprintf("tags-%02d", i), Kind: fleet.KindUpstream, State: fleet.Live}
		}
		instances[7].Rack = change
		return instances
	}

	ginkgo.It("is the peer's, whatever was there before", func() {
		reader, _ := newTestEntry()
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() {
			served <- peer.NewServer(reader, []byte(testKey), zap.NewNop()).Serve(ctx, reader.listeners.peers)
		}()
		ginkgo.DeferCleanup(func() { stop(); Expect(<-served).To(Succeed()) })
		at := membership.Member{ID: "entry-1", PeerAddress: reader.Addresses().Peers}
		follower, _ := newTestEntry()
		for i := range 3 { // the first is whole, the others are changes
			reader.inventory.Read(fleet.Listing{Tag: fmt.Sprint("tag-", i), Instances: list(fmt.Sprint("rack-", i))}, time.Now())
			follower.fetchInstances(ctx, at)
			Expect(follower.inventory.Listing()).To(Equal(fleet.Listing{Tag: fmt.Sprint("tag-", i), Instances: list(fmt.Sprint("rack-", i))}))
		}
		follower.inventory.Read(fleet.Listing{Instances: list("rack-elsewhere")}, time.Now()) // unknown to the reader
		for i := range 3 {
			reader.inventory.Read(fleet.Listing{Instances: list(fmt.Sprint("rack-", 10+i))}, time.Now())
		}
		follower.fetchInstances(ctx, at)
		Expect(follower.inventory.Get().Instances).To(Equal(list("rack-12")))
	})
})
