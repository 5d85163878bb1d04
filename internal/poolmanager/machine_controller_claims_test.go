package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("a new machine controller", func() {
	var (
		s *ownershipScene
		c *machineController
	)

	BeforeEach(func() {
		s, c = newControllerScene()
		s.manager.timing.ControllerPause = 3300 * time.Millisecond
	})
	addRequest := func(machine string, revision int64) {
		c.requests.Update(func(v requestView) (requestView, bool) {
			v = v.clone()
			v.known = true
			if machine != "" {
				v.empty[machine] = emptyRequest{EmptyRequest: upkeep.EmptyRequest{Pool: sceneService, Worker: "a2", Emptied: true}, revision: revision}
			}
			return v, true
		})
	}
	wave := func(number int64) upkeep.Wave {
		return upkeep.Wave{Number: number, Machines: []string{"m-a"}, MaxDown: 1, Within: time.Minute}
	}

	// Two machine controllers ordered the same machine in turn (invariant ONE): the
	// earlier one had claimed it for a move.
	It("orders nothing before it has read the claims of the last one", func() {
		addRequest("", 0)
		s.machines.listed = []upkeep.Machine{{ID: "m-a", Pool: "spare", State: upkeep.Up}}
		value, err := poolstore.EncodeOffer(lending.Offer{Pool: "spare", Target: sceneService, TakenAt: s.clock.Now()})
		Expect(err).NotTo(HaveOccurred())
		revision := s.store.put(poolstore.OfferKey("m-a"), value, 0)
		c.step([]upkeep.Wave{wave(3)})
		Expect(s.machines.down).To(BeEmpty())
		c.reports.Update(func(v reportView) (reportView, bool) {
			v = v.clone()
			v.known = true
			v.offers["m-a"], v.revisions["m-a"] = lending.Offer{Pool: "spare", Target: sceneService}, revision
			return v, true
		})
		c.step([]upkeep.Wave{wave(3)})
		Expect(s.machines.down).To(BeEmpty())
	})

	// A machine that was back from its upkeep was taken down for a second wave on the
	// confirmation of the first. By then it ran tasks again, also such as must not be
	// unavailable (invariant AVAIL).
	It("takes no machine down for a second wave on the confirmation that it was empty for the first", func() {
		ctx := context.Background()
		c.since = s.clock.Now().Add(-time.Hour)
		value, err := poolstore.EncodeEmptyRequest(&upkeep.EmptyRequest{Pool: sceneService, Worker: "a2", By: s.clock.Now(), Emptied: true})
		Expect(err).NotTo(HaveOccurred())
		addRequest("m-a", s.store.put(poolstore.EmptyRequestKey("m-a"), value, 0))
		p, err := c.loadProgress(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		p.Ordered["m-a"], p.Confirmed["m-a"] = "a", true
		back := map[string]upkeep.Machine{"m-a": {ID: "m-a", Pool: sceneService, State: upkeep.Up, Worker: "a2"}}
		Expect(c.stepWave(ctx, wave(3), back)).To(Succeed())
		Expect(s.store.has(poolstore.EmptyRequestKey("m-a"))).To(BeFalse(), "the request is deleted")
		Expect(c.stepWave(ctx, wave(4), back)).NotTo(Succeed())
		Expect(s.machines.down).To(BeEmpty())
	})

	// Two machine controllers ordered the same machine in turn (invariant ONE): the earlier
	// one had ordered its upkeep long before, and repeated the order until it handed over.
	It("orders no machine whose upkeep the last one may have ordered again just now", func() {
		ctx := context.Background()
		addRequest("m-a", s.store.put(poolstore.EmptyRequestKey("m-a"), nil, 0))
		p, err := c.loadProgress(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		p.Ordered["m-a"], p.OrderedAt["m-a"] = "a2", s.clock.Now().Add(-20*time.Second)
		up := map[string]upkeep.Machine{"m-a": {ID: "m-a", Pool: sceneService, State: upkeep.Up, Worker: "a2"}}
		Expect(c.stepWave(ctx, wave(3), up)).To(Succeed())
		Expect(s.machines.down).To(BeEmpty())
		s.clock.Advance(s.manager.timing.ControllerPause)
		Expect(c.stepWave(ctx, wave(3), up)).To(Succeed())
		Expect(s.machines.down).To(Equal([]string{"m-a"}))
	})
})
