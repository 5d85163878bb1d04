package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("an owner that takes over from an earlier incarnation of its entry", func() {
	ctx := context.Background()
	var s *ownershipScene
	var first *poolOwnership

	// starts reports whether the owner starts an older job at a time when all leases
	// of runs under the last owner have ended, but an owner before that one may still
	// send orders.
	starts := func(o *poolOwnership) bool {
		s.list(o, "b")
		s.poll(o, "b")
		Expect(o.writeRoster(ctx)).To(Succeed())
		s.clock.Advance(sceneTiming.MaxRunLease + 400*time.Millisecond)
		s.poll(o, "b")
		return len(o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts) > 0
	}

	BeforeEach(func() {
		s = newOwnershipScene()
		s.accept("old")
		first = s.load()
		s.list(first, "gone")
		s.poll(first, "gone")
		Expect(first.writeRoster(ctx)).To(Succeed())
	})

	// Each restart of an entry delayed the older jobs of its pools.
	It("does not wait for the lease of the earlier incarnation", func() {
		s.clock.Advance(sceneTiming.FormerOwnerLease)
		Expect(first.writeRoster(ctx)).To(Succeed())
		o := s.own()
		o.previousToken = first.token
		_, _, err := o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(starts(o)).To(BeTrue())
	})

	// An owner before the earlier incarnation has lost the pool early, and still sends
	// orders for the rest of its lease.
	It("waits for the lease of the owner before, if that may still send orders", func() {
		o := s.own()
		o.previousToken = first.token
		_, _, err := o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(starts(o)).To(BeFalse())
	})

	// An acquisition whose response was lost was applied late and named this entry, so
	// that the last owner, another entry, was taken for an earlier incarnation of this
	// one.
	It("waits for the lease of the last owner, if the earlier incarnation stored no roster", func() {
		s.clock.Advance(sceneTiming.FormerOwnerLease)
		Expect(first.writeRoster(ctx)).To(Succeed())
		unserved := s.own()
		o := s.own()
		o.previousToken = unserved.token
		_, _, err := o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(starts(o)).To(BeFalse())
	})

	// An owner that loaded the pool a second time took its own first roster for that
	// of the last owner.
	It("keeps the roster of the last owner when it loads the pool again", func() {
		s.clock.Advance(sceneTiming.FormerOwnerLease)
		first.release()
		o := s.own()
		s.store.loseNextResponse(poolstore.RosterKey(sceneService))
		_, _, err := o.tryLoad(context.Background())
		Expect(err).To(HaveOccurred())
		s.store.applyDelayed()
		_, _, err = o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.roster().Tenure).To(Equal(2))
		Expect(s.roster().Workers).To(HaveLen(1))
		Expect(starts(o)).To(BeTrue())
	})
})
