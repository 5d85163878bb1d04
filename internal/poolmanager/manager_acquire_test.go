package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

var _ = Describe("an entry whose acquisition of a pool has an unknown outcome", func() {
	// The acquisition was applied late, so that the pool had an owner that did not
	// know of it: none of its tasks started until the entry's lease ended.
	It("runs the pool once the store names it as the owner after all", func() {
		ctx := context.Background()
		owner := poolstore.OwnerKey(sceneService)
		s := newOwnershipScene()
		s.manager.Directory = fakeDirectory{}
		s.manager.config = poolconfig.NewInForce()
		s.manager.config.Put(&poolconfig.Configuration{Version: 1, Pools: []poolconfig.Pool{{Service: sceneService}}})
		settled := s.clock.Now().Add(-time.Second)
		view := func() {
			items, _, err := s.store.Range(ctx, poolstore.FleetPrefix)
			Expect(err).NotTo(HaveOccurred())
			next := newFleetView()
			next.known = true
			for _, item := range items {
				s.manager.applyFleet(&next, store.Event{Item: item}, s.clock.Now())
			}
			s.manager.fleet.Update(func(fleetView) (fleetView, bool) { return next, true })
		}
		Expect(s.manager.register(ctx, sceneLease)).To(BeTrue())
		view()
		s.store.loseNextResponse(owner)
		s.manager.takeOver(ctx, sceneLease, settled)
		Expect(s.manager.owns(sceneService)).To(BeFalse())
		s.store.applyDelayed()
		unserved, err := s.store.Get(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		view()
		s.manager.takeOver(ctx, sceneLease, settled)
		Expect(s.manager.owns(sceneService)).To(BeTrue())
		now, err := s.store.Get(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		s.manager.mu.Lock()
		o := s.manager.ownerships[sceneService]
		s.manager.mu.Unlock()
		Expect(o.token).To(Equal(now.Revision))
		Expect(o.previousToken).To(Equal(unserved.Revision))
		o.cancel()
		Eventually(o.done, 5*time.Second).Should(BeClosed())
	})

	// Two ownerships of the entry had one fencing token: the orders of the one that had
	// ended were still on their way, and nothing told them from those of the next.
	It("does not run the pool under the token of its last ownership, which has ended", func() {
		ctx := context.Background()
		owner := poolstore.OwnerKey(sceneService)
		s := newOwnershipScene()
		last := s.own()
		s.store.loseNextResponse(owner)
		s.manager.acquire(ctx, sceneService, poolOwner{entry: sceneEntry, token: last.token}, sceneLease)
		Expect(s.manager.owns(sceneService)).To(BeFalse())
		s.store.applyDelayed()
		item, err := s.store.Get(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Revision).To(BeNumerically(">", last.token))
	})
})
