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

var _ = Describe("an entry whose acquisition of a pool was not answered", func() {
	// The pool stays with an entry that does not know that it owns it, as long as
	// its lease holds: no task of it starts.
	It("serves the pool once the store names it after all", func() {
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
		s.store.loseNext(owner)
		s.manager.takeOver(ctx, sceneLease, settled)
		Expect(s.manager.owns(sceneService)).To(BeFalse())
		s.store.carryOut()
		unserved, err := s.store.Get(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		view()
		s.manager.takeOver(ctx, sceneLease, settled)
		Expect(s.manager.owns(sceneService)).To(BeTrue())
		now, err := s.store.Get(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		s.manager.mu.Lock()
		t := s.manager.ownerships[sceneService]
		s.manager.mu.Unlock()
		Expect(t.token).To(Equal(now.Revision))
		Expect(t.previousToken).To(Equal(unserved.Revision))
		t.cancel()
		Eventually(t.done, 5*time.Second).Should(BeClosed())
	})
})
