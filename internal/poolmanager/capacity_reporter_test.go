package poolmanager

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("what a pool tells the holder of the duty for machines", func() {
	ctx := context.Background()
	need, offer := poolstore.NeedKey(sceneService), poolstore.OfferKey("m-a")
	var s *ownershipScene
	var b *capacityReporter

	kept := func() string {
		item, err := s.store.Get(ctx, need)
		Expect(err).NotTo(HaveOccurred())
		return string(item.Value)
	}

	BeforeEach(func() {
		s = newOwnershipScene()
		t := s.load()
		s.list(t, "a")
		s.poll(t, "a")
		Expect(t.writeRoster(ctx)).To(Succeed())
		b = &capacityReporter{poolOwnership: t, offered: map[string]int64{}, claimed: map[string]bool{}, reportedNeed: -1}
		Expect(b.writeNeed(ctx, 0)).To(Succeed())
	})

	// Machines are moved to a pool that has had enough of them for a while.
	It("is not replaced by an earlier need that is carried out late", func() {
		s.store.loseNext(need)
		Expect(b.writeNeed(ctx, 5)).NotTo(Succeed())
		Expect(b.writeNeed(ctx, 1)).To(Succeed())
		s.store.carryOut()
		Expect(kept()).To(Equal("1"))
	})

	// A need that may have been told stays in the store when it has gone.
	It("is told again after a write that was not answered, though it is as before", func() {
		s.store.loseNext(need)
		Expect(b.writeNeed(ctx, 5)).NotTo(Succeed())
		Expect(b.reportedNeed).NotTo(Equal(0))
	})

	// A machine that has work again is offered after all, and moved away.
	It("offers no machine late that the pool has taken back", func() {
		s.store.loseNext(offer)
		Expect(b.offer(ctx, []string{"m-a"})).NotTo(Succeed())
		back, err := b.withdraw(ctx, "m-a")
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(BeTrue())
		s.store.carryOut()
		Expect(s.store.has(offer)).To(BeFalse())
	})

	// An offer that was made and not answered can never be taken back.
	It("takes an offer back that was carried out late", func() {
		s.store.loseNext(offer)
		Expect(b.offer(ctx, []string{"m-a"})).NotTo(Succeed())
		s.store.carryOut()
		for range 2 {
			_, err := b.withdraw(ctx, "m-a")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.store.has(offer)).To(BeFalse())
		Expect(b.offered).To(BeEmpty())
	})
})
