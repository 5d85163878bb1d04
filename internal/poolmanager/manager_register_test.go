package poolmanager

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

var _ = Describe("the registration of an entry", func() {
	ctx := context.Background()
	const earlier, later = 7, 8
	key := poolstore.MemberKey(sceneNode)
	var s *ownershipScene

	kept := func() store.Item {
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		return item
	}

	BeforeEach(func() { s = newOwnershipScene() })

	// The entry is alive and registered under a lease of its last incarnation: with that
	// it goes, is told of nothing, and gets no pools any more.
	It("is not replaced by one of an earlier life that is carried out late", func() {
		s.store.loseNext(key)
		Expect(s.manager.register(ctx, earlier)).To(BeFalse())
		next := newOwnershipScene()
		next.manager.Store = s.store
		Expect(next.manager.register(ctx, later)).To(BeTrue())
		s.store.carryOut()
		Expect(kept().Lease).To(BeEquivalentTo(later))
	})

	// An entry that was restarted is not registered while its last incarnation's lease
	// holds, or ever again.
	It("replaces one of an earlier life, and one that is gone", func() {
		s.store.put(key, nil, earlier)
		Expect(s.manager.register(ctx, later)).To(BeTrue())
		Expect(kept().Lease).To(BeEquivalentTo(later))
		s.store.remove(key)
		Expect(s.manager.register(ctx, later+1)).To(BeTrue())
		Expect(kept().Lease).To(BeEquivalentTo(later + 1))
	})
})
