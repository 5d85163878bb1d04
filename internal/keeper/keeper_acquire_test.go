package keeper

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/store"
	"persimmonbay/internal/workconfig"
	"persimmonbay/internal/workstore"
)

var _ = Describe("an entry whose acquisition of a pool was not answered", func() {
	// The pool stays with an entry that does not know that it owns it, as long as
	// its lease holds: no task of it starts.
	It("serves the pool once the store names it after all", func() {
		ctx := context.Background()
		owner := workstore.OwnerKey(sceneService)
		s := newOwnershipScene()
		s.keeper.Directory = fakeDirectory{}
		s.keeper.config = workconfig.NewInForce()
		s.keeper.config.Put(&workconfig.Configuration{Version: 1, Pools: []workconfig.Pool{{Service: sceneService}}})
		settled := s.clock.Now().Add(-time.Second)
		view := func() {
			items, _, err := s.store.Range(ctx, workstore.FleetPrefix)
			Expect(err).NotTo(HaveOccurred())
			next := newFleetView()
			next.known = true
			for _, item := range items {
				s.keeper.takeFleet(&next, store.Event{Item: item}, s.clock.Now())
			}
			s.keeper.fleet.Update(func(fleetView) (fleetView, bool) { return next, true })
		}
		Expect(s.keeper.register(ctx, sceneLease)).To(BeTrue())
		view()
		s.store.loseNext(owner)
		s.keeper.takeOver(ctx, sceneLease, settled)
		Expect(s.keeper.owns(sceneService)).To(BeFalse())
		s.store.carryOut()
		unserved, err := s.store.Get(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		view()
		s.keeper.takeOver(ctx, sceneLease, settled)
		Expect(s.keeper.owns(sceneService)).To(BeTrue())
		now, err := s.store.Get(ctx, owner)
		Expect(err).NotTo(HaveOccurred())
		s.keeper.mu.Lock()
		t := s.keeper.ownerships[sceneService]
		s.keeper.mu.Unlock()
		Expect(t.token).To(Equal(now.Revision))
		Expect(t.past).To(Equal(unserved.Revision))
		t.cancel()
		Eventually(t.done, 5*time.Second).Should(BeClosed())
	})
})
