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
	key := poolstore.MemberKey(sceneEntry)
	var s *ownershipScene

	stored := func() store.Item {
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		return item
	}

	BeforeEach(func() { s = newOwnershipScene() })

	// A delayed write registered the entry under the lease of its last incarnation. The
	// registration ended with that lease, and the entry, though alive, received no
	// notices and no pools any more.
	It("is not replaced by one of an earlier incarnation that is applied late", func() {
		s.store.loseNextResponse(key)
		Expect(s.manager.register(ctx, earlier)).To(BeFalse())
		next := newOwnershipScene()
		next.manager.Store = s.store
		Expect(next.manager.register(ctx, later)).To(BeTrue())
		s.store.applyDelayed()
		Expect(stored().Lease).To(BeEquivalentTo(later))
	})

	// A restarted entry did not register while its last incarnation's lease was valid,
	// or ever again.
	It("replaces one of an earlier incarnation, and one that is gone", func() {
		s.store.put(key, nil, earlier)
		Expect(s.manager.register(ctx, later)).To(BeTrue())
		Expect(stored().Lease).To(BeEquivalentTo(later))
		s.store.remove(key)
		Expect(s.manager.register(ctx, later+1)).To(BeTrue())
		Expect(stored().Lease).To(BeEquivalentTo(later + 1))
	})
})
