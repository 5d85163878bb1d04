package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("the roster that an owner keeps", func() {
	ctx := context.Background()
	var s *ownershipScene
	var t *poolOwnership

	BeforeEach(func() {
		s = newOwnershipScene()
		t = s.load()
		s.list(t, "a")
		s.poll(t, "a")
		Expect(t.writeRoster(ctx)).To(Succeed())
	})

	// A roster that calls a worker down replaces a later one that calls it up: the
	// next owner starts again what was started there since.
	It("is not replaced by an earlier copy that is carried out late", func() {
		s.silence(t, "a")
		s.store.loseNext(poolstore.RosterKey(sceneService))
		Expect(t.writeRoster(ctx)).NotTo(Succeed())
		s.poll(t, "a")
		Expect(t.writeRoster(ctx)).To(Succeed())
		s.store.carryOut()
		Expect(s.roster().Workers[0].Down).To(BeFalse())
	})

	// The same, with several copies on their way when the answer comes.
	It("leaves no copy that could still be carried out, once a write is confirmed", func() {
		for range 2 {
			s.silence(t, "a")
			s.store.loseNext(poolstore.RosterKey(sceneService))
			Expect(t.writeRoster(ctx)).NotTo(Succeed())
			s.poll(t, "a")
		}
		Expect(t.writeRoster(ctx)).To(Succeed())
		kept := s.roster()
		s.store.carryOut()
		Expect(s.roster()).To(Equal(kept))
	})

	// An owner whose lost write was carried out never keeps its roster again.
	It("goes on after a write that was carried out and not answered", func() {
		s.silence(t, "a")
		s.store.loseNext(poolstore.RosterKey(sceneService))
		Expect(t.writeRoster(ctx)).NotTo(Succeed())
		s.store.carryOut()
		s.poll(t, "a")
		Expect(t.writeRoster(ctx)).To(Succeed())
		Expect(s.roster().Workers[0].Down).To(BeFalse())
	})

	// A hand-over fails because of an earlier roster, and the next owner waits for
	// the lease to end.
	It("is kept at the hand-over, whatever became of an earlier write", func() {
		s.silence(t, "a")
		s.store.loseNext(poolstore.RosterKey(sceneService))
		Expect(t.writeRoster(ctx)).NotTo(Succeed())
		s.store.carryOut()
		t.release()
		Expect(s.store.has(poolstore.OwnerKey(sceneService))).To(BeFalse())
		Expect(s.roster().Released).To(BeTrue())
	})

	// One lost answer at the hand-over makes the next owner wait for the lease.
	It("is sent again at the hand-over when the answer is lost", func() {
		s.store.loseNext(poolstore.RosterKey(sceneService))
		released := make(chan struct{})
		go func() {
			defer close(released)
			t.release()
		}()
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		Expect(s.clock.BlockUntilContext(limited, 1)).To(Succeed())
		s.clock.Advance(minRetryDelay)
		Eventually(released, 5*time.Second).Should(BeClosed())
		Expect(s.store.has(poolstore.OwnerKey(sceneService))).To(BeFalse())
		Expect(s.roster().Released).To(BeTrue())
	})

	// An owner that lost the pool goes on as if its roster were kept.
	It("ends the tenure when the store names another owner", func() {
		s.own()
		s.silence(t, "a")
		Expect(t.writeRoster(ctx)).NotTo(Succeed())
		Expect(t.ctx.Err()).To(HaveOccurred())
	})

	// An owner that reads the pool again after a lost first write is stopped by
	// its own copy.
	It("is kept by an owner whose first write was carried out late", func() {
		t = s.own()
		s.store.loseNext(poolstore.RosterKey(sceneService))
		_, _, err := t.tryLoad()
		Expect(err).To(HaveOccurred())
		_, _, err = t.tryLoad()
		Expect(err).NotTo(HaveOccurred())
		kept := s.roster()
		s.store.carryOut()
		Expect(s.roster()).To(Equal(kept))
		Expect(kept.Workers).To(HaveLen(1))
	})
})
