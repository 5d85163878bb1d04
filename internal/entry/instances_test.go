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

	ginkgo.It("equals the peer's list, whatever list was there before", func() {
		sender, _ := newTestEntry()
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() {
			served <- peer.NewServer(sender, []byte(testKey), zap.NewNop()).Serve(ctx, sender.listeners.peers)
		}()
		ginkgo.DeferCleanup(func() { stop(); Expect(<-served).To(Succeed()) })
		at := membership.Member{ID: "entry-1", PeerAddress: sender.Addresses().Peers}
		receiver, _ := newTestEntry()
		for i := range 3 { // the first answer is a whole list, the others are changes
			sender.inventory.Read(fleet.Listing{Tag: fmt.Sprint("tag-", i), Instances: list(fmt.Sprint("rack-", i))}, time.Now())
			receiver.fetchInstances(ctx, at)
			Expect(receiver.inventory.Listing()).To(Equal(fleet.Listing{Tag: fmt.Sprint("tag-", i), Instances: list(fmt.Sprint("rack-", i))}))
		}
		receiver.inventory.Read(fleet.Listing{Instances: list("rack-elsewhere")}, time.Now()) // a list that the peer does not know
		for i := range 3 {
			sender.inventory.Read(fleet.Listing{Instances: list(fmt.Sprint("rack-", 10+i))}, time.Now())
		}
		receiver.fetchInstances(ctx, at)
		Expect(receiver.inventory.Get().Instances).To(Equal(list("rack-12")))
	})
})
