package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("the roster that an owner stores", func() {
	ctx := context.Background()
	var s *ownershipScene
	var o *poolOwnership

	BeforeEach(func() {
		s = newOwnershipScene()
		o = s.load()
		s.list(o, "a")
		s.poll(o, "a")
		Expect(o.writeRoster(ctx)).To(Succeed())
	})

	// A delayed roster with a worker down replaced a later one with the worker up: the
	// next owner started again the tasks that had been started there since.
	It("is not replaced by an earlier copy that is applied late", func() {
		s.silence(o, "a")
		s.store.loseNextResponse(poolstore.RosterKey(sceneService))
		Expect(o.writeRoster(ctx)).NotTo(Succeed())
		s.poll(o, "a")
		Expect(o.writeRoster(ctx)).To(Succeed())
		s.store.applyDelayed()
		Expect(s.roster().Workers[0].Down).To(BeFalse())
	})

	// The same fault, with several copies not applied yet when a response arrives.
	It("leaves no copy that could still be applied, once a write is confirmed", func() {
		for range 2 {
			s.silence(o, "a")
			s.store.loseNextResponse(poolstore.RosterKey(sceneService))
			Expect(o.writeRoster(ctx)).NotTo(Succeed())
			s.poll(o, "a")
		}
		Expect(o.writeRoster(ctx)).To(Succeed())
		stored := s.roster()
		s.store.applyDelayed()
		Expect(s.roster()).To(Equal(stored))
	})

	// An owner never stored its roster again after a write that was applied although
	// its response was lost.
	It("is written again after a write that was applied without a response", func() {
		s.silence(o, "a")
		s.store.loseNextResponse(poolstore.RosterKey(sceneService))
		Expect(o.writeRoster(ctx)).NotTo(Succeed())
		s.store.applyDelayed()
		s.poll(o, "a")
		Expect(o.writeRoster(ctx)).To(Succeed())
		Expect(s.roster().Workers[0].Down).To(BeFalse())
	})

	// A hand-over failed because of an earlier roster, and the next owner waited for the
	// lease to end.
	It("is stored at the hand-over, whatever the outcome of an earlier write", func() {
		s.silence(o, "a")
		s.store.loseNextResponse(poolstore.RosterKey(sceneService))
		Expect(o.writeRoster(ctx)).NotTo(Succeed())
		s.store.applyDelayed()
		o.release()
		Expect(s.store.has(poolstore.OwnerKey(sceneService))).To(BeFalse())
		Expect(s.roster().Released).To(BeTrue())
	})

	// After one lost response at the hand-over, the next owner waited for the lease to
	// end.
	It("is written again at the hand-over when the response is lost", func() {
		s.store.loseNextResponse(poolstore.RosterKey(sceneService))
		released := make(chan struct{})
		go func() {
			defer close(released)
			o.release()
		}()
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(s.clock.BlockUntilContext(limited, 1)).To(Succeed())
		s.clock.Advance(minRetryDelay)
		Eventually(released, 5*time.Second).Should(BeClosed())
		Expect(s.store.has(poolstore.OwnerKey(sceneService))).To(BeFalse())
		Expect(s.roster().Released).To(BeTrue())
	})

	// An owner that had lost the pool went on as if its roster were stored.
	It("ends the ownership when the store has another owner", func() {
		s.own()
		s.silence(o, "a")
		Expect(o.writeRoster(ctx)).NotTo(Succeed())
		Expect(o.ctx.Err()).To(HaveOccurred())
	})

	// An owner that loaded the pool again after a first write without a response ended
	// because of its own delayed copy.
	It("is stored by an owner whose first write was applied late", func() {
		o = s.own()
		s.store.loseNextResponse(poolstore.RosterKey(sceneService))
		_, _, err := o.tryLoad(context.Background())
		Expect(err).To(HaveOccurred())
		_, _, err = o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		stored := s.roster()
		s.store.applyDelayed()
		Expect(s.roster()).To(Equal(stored))
		Expect(stored.Workers).To(HaveLen(1))
	})
})
