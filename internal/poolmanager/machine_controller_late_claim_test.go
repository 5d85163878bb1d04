package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("a machine controller with a claim", func() {
	ctx := context.Background()
	key := poolstore.OfferKey("m-a")
	var s *ownershipScene
	var c *machineController

	// put stores the claim of a move of the machine m-a.
	put := func(pool, target string) {
		value, err := poolstore.EncodeOffer(lending.Offer{Pool: pool, Target: target})
		Expect(err).NotTo(HaveOccurred())
		s.store.put(key, value, 0)
	}
	// lend has the controller read what is stored, and order the moves of m-a, which is in
	// the given pool.
	lend := func(pool string) error {
		view := newReportView()
		view.known = true
		if item, err := s.store.Get(ctx, key); err == nil {
			Expect(view.apply(store.Event{Item: item})).To(Succeed())
		}
		c.reports.Update(func(reportView) (reportView, bool) { return view, true })
		return c.lend(ctx, map[string]upkeep.Machine{"m-a": {ID: "m-a", Pool: pool, State: upkeep.Up}})
	}
	// lendFor does so for the given time.
	lendFor := func(pool string, d time.Duration) (err error) {
		for end := s.clock.Now().Add(d); err == nil && s.clock.Now().Before(end); s.clock.Advance(arrivalDelay) {
			err = lend(pool)
		}
		return err
	}

	BeforeEach(func() {
		s, c = newControllerScene()
		s.manager.timing.ControllerPause = 3300 * time.Millisecond
		c.since = s.clock.Now().Add(-time.Hour)
	})

	// A delayed delete of a claim deleted the claim of the machine's next move: its pool took
	// the machine back, and that move ended the tasks which had started there (AVAIL).
	It("leaves no delayed delete that deletes the claim of the next move", func() {
		put("spare", sceneService)
		s.store.loseNextResponse(key)
		Expect(lendFor(sceneService, 5*time.Second)).NotTo(Succeed())
		Expect(lendFor(sceneService, 6*time.Second)).To(Succeed())
		Expect(s.store.has(key)).To(BeFalse())
		put(sceneService, "other")
		s.store.applyDelayed()
		Expect(s.store.has(key)).To(BeTrue())
	})

	// The same after the platform did not know the machine at first.
	It("leaves no delayed delete of a refused move's claim that deletes a later claim", func() {
		put("spare", sceneService)
		s.machines.unknown = true
		s.store.loseNextResponse(key)
		Expect(lend("spare")).To(Succeed())
		Expect(s.store.has(key)).To(BeTrue())
		Expect(lend("spare")).To(Succeed())
		Expect(s.store.has(key)).To(BeFalse())
		put("spare", "other")
		s.store.applyDelayed()
		Expect(s.store.has(key)).To(BeTrue())
	})

	// A delayed claim moved a machine whose upkeep had got no answer: the upkeep was carried
	// out in the next pool and ended the tasks there (AVAIL).
	It("orders no move of a delayed claim while the upkeep of the machine is not over", func() {
		c.waves.Update(func(v waveView) (waveView, bool) {
			return v.with("wave", upkeep.Wave{Number: 3, Machines: []string{"m-a"}}), true
		})
		p, err := c.loadProgress(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		p.Ordered["m-a"] = ""
		put("spare", sceneService)
		Expect(lend("spare")).To(Succeed())
		Expect(s.machines.moved).To(BeEmpty())
		p.Done["m-a"] = true
		Expect(lend("spare")).To(Succeed())
		Expect(s.machines.moved).To(Equal([]string{"m-a"}))
	})

	// The first copy of a move got no answer and was carried out after the next move of the
	// machine: it took the machine away from its next pool and ended the tasks there (AVAIL).
	It("keeps the claim of a move that got no answer while that may still be carried out", func() {
		put("spare", sceneService)
		s.machines.mute = true
		Expect(lend("spare")).To(Succeed())
		s.machines.mute = false
		Expect(lend("spare")).To(Succeed())
		Expect(lendFor(sceneService, 12*time.Second)).To(Succeed())
		Expect(s.store.has(key)).To(BeTrue())
		Expect(lendFor(sceneService, 4*time.Second)).To(Succeed())
		Expect(s.store.has(key)).To(BeFalse())
	})

	// The same, where the list of machines shows that the first copy was carried out: another
	// one may have been sent before that, and is still on its way.
	It("keeps the claim of a move that got no answer, whether or not it was repeated", func() {
		put("spare", sceneService)
		s.machines.mute = true
		Expect(lend("spare")).To(Succeed())
		Expect(lendFor(sceneService, 12*time.Second)).To(Succeed())
		Expect(s.store.has(key)).To(BeTrue())
		Expect(lendFor(sceneService, 4*time.Second)).To(Succeed())
		Expect(s.store.has(key)).To(BeFalse())
	})
})
