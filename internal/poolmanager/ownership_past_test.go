package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("an owner that takes over from an earlier life of its entry", func() {
	ctx := context.Background()
	var s *ownershipScene
	var first *poolOwnership

	// starts reports whether the owner starts an older job once all is over that
	// the last owner granted, but not what one before it may still have ordered.
	starts := func(t *poolOwnership) bool {
		s.list(t, "b")
		s.poll(t, "b")
		Expect(t.writeRoster(ctx)).To(Succeed())
		s.clock.Advance(sceneTiming.RunLease + 400*time.Millisecond)
		s.poll(t, "b")
		return len(t.pool.Plan(s.clock.Now(), s.clock.Now()).Starts) > 0
	}

	BeforeEach(func() {
		s = newOwnershipScene()
		s.accept("old")
		first = s.load()
		s.list(first, "gone")
		s.poll(first, "gone")
		Expect(first.writeRoster(ctx)).To(Succeed())
	})

	// Each restart of an entry holds its pools' older jobs up.
	It("does not wait for the time of the earlier life", func() {
		s.clock.Advance(sceneTiming.FormerOwnerLease)
		Expect(first.writeRoster(ctx)).To(Succeed())
		t := s.own()
		t.previousToken = first.token
		_, _, err := t.tryLoad()
		Expect(err).NotTo(HaveOccurred())
		Expect(starts(t)).To(BeTrue())
	})

	// An owner before the earlier incarnation has lost the pool early and orders on.
	It("waits for the time of the owner before, if that may still order", func() {
		t := s.own()
		t.previousToken = first.token
		_, _, err := t.tryLoad()
		Expect(err).NotTo(HaveOccurred())
		Expect(starts(t)).To(BeFalse())
	})

	// An acquisition whose answer was lost is carried out late and names this
	// entry: the last owner, another entry, is taken for an earlier incarnation.
	It("waits for the time of the last owner, if the earlier life kept no roster", func() {
		s.clock.Advance(sceneTiming.FormerOwnerLease)
		Expect(first.writeRoster(ctx)).To(Succeed())
		unserved := s.own()
		t := s.own()
		t.previousToken = unserved.token
		_, _, err := t.tryLoad()
		Expect(err).NotTo(HaveOccurred())
		Expect(starts(t)).To(BeFalse())
	})

	// An owner that reads the pool a second time takes its own first roster for
	// that of the last owner.
	It("remembers what the last owner left when it reads the pool again", func() {
		s.clock.Advance(sceneTiming.FormerOwnerLease)
		first.release()
		t := s.own()
		s.store.loseNext(poolstore.RosterKey(sceneService))
		_, _, err := t.tryLoad()
		Expect(err).To(HaveOccurred())
		s.store.carryOut()
		_, _, err = t.tryLoad()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.roster().Tenure).To(Equal(2))
		Expect(s.roster().Workers).To(HaveLen(1))
		Expect(starts(t)).To(BeTrue())
	})
})
