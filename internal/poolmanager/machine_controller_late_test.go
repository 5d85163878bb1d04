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

var _ = Describe("the machine controller", func() {
	ctx := context.Background()
	const wave = 3
	var s *ownershipScene
	var c *machineController
	var p upkeep.Progress
	machines := map[string]upkeep.Machine{"m-a": {ID: "m-a", Worker: "a"}, "m-b": {ID: "m-b", Worker: "b"}}

	stored := func() upkeep.Progress {
		key := poolstore.UpkeepKey(wave)
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		progress, err := poolstore.DecodeUpkeep(key, item.Value)
		Expect(err).NotTo(HaveOccurred())
		return progress
	}

	BeforeEach(func() {
		s, c = newControllerScene()
		var err error
		p, err = c.loadProgress(ctx, wave)
		Expect(err).NotTo(HaveOccurred())
	})

	// A delayed write replaced the progress: the next machine controller counted too
	// few machines as down, or took one down twice.
	It("leaves no delayed write of a wave's progress that replaces a later one", func() {
		p.Done["m-a"] = true
		s.store.loseNextResponse(poolstore.UpkeepKey(wave))
		Expect(c.saveProgress(ctx, wave, &p, store.Txn{})).NotTo(Succeed())
		p.Done["m-b"] = true
		Expect(c.saveProgress(ctx, wave, &p, store.Txn{})).To(Succeed())
		s.store.applyDelayed()
		Expect(stored().Done).To(HaveLen(2))
	})

	// A delayed write showed operators a completed wave as active.
	It("leaves no delayed write of a wave's status that replaces a later one", func() {
		s.store.loseNextResponse("told/")
		Expect(c.writeWaveStatus(ctx, wave, false)).NotTo(Succeed())
		Expect(c.writeWaveStatus(ctx, wave, true)).To(Succeed())
		s.store.applyDelayed()
		item, err := s.store.Get(ctx, "told/wave")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(item.Value)).To(Equal("completed"))
	})

	// A delayed request emptied a machine again after its upkeep, and no machine
	// controller deleted the request.
	It("leaves no delayed request to empty a machine that is back", func() {
		s.store.loseNextResponse(poolstore.EmptyRequestKey("m-a"))
		Expect(c.requestEmptying(ctx, wave, []string{"m-a"}, machines, s.clock.Now().Add(time.Minute))).NotTo(Succeed())
		Expect(c.recordReturned(ctx, wave, &p, []string{"m-a"})).To(Succeed())
		s.store.applyDelayed()
		Expect(s.store.has(poolstore.EmptyRequestKey("m-a"))).To(BeFalse())
	})

	// A delayed recall made a pool give up machines that no pool needed any more.
	It("leaves no delayed write of a recall that replaces a later one", func() {
		key := poolstore.RecallKey(sceneService)
		s.store.loseNextResponse(key)
		Expect(c.writeRecalls(ctx, map[string]int{sceneService: 2})).NotTo(Succeed())
		Expect(c.writeRecalls(ctx, map[string]int{})).To(Succeed())
		s.store.applyDelayed()
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(item.Value)).To(Equal("0"))
	})

	// The recall of an earlier machine controller stayed in the store, and the pool
	// gave up machines without end.
	It("withdraws the recalls of the last machine controller", func() {
		key := poolstore.RecallKey(sceneService)
		s.store.put(key, []byte("2"), 0)
		Expect(c.writeRecalls(ctx, map[string]int{})).To(Succeed())
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(item.Value)).To(Equal("0"))
	})

	// A delayed claim moved a machine away from the pool that it had reached
	// meanwhile, and its tasks ended.
	It("does not order the move of a delayed claim, if the machine has moved since", func() {
		key := poolstore.OfferKey("m-a")
		listed := map[string]upkeep.Machine{"m-a": {ID: "m-a", Pool: "standby", State: upkeep.Up}}
		s.store.loseNextResponse(key)
		_, err := c.claim(ctx, []lending.Move{{Machine: "m-a", Target: "other"}}, listed, c.reports.Get())
		Expect(err).To(HaveOccurred())
		listed["m-a"] = upkeep.Machine{ID: "m-a", Pool: sceneService, State: upkeep.Up, Worker: "a"}
		s.store.applyDelayed()
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		view := newReportView()
		Expect(view.apply(store.Event{Item: item})).To(Succeed())
		c.reports.Update(func(reportView) (reportView, bool) { return view, true })
		Expect(c.lend(ctx, listed)).To(Succeed())
		Expect(s.machines.moved).To(BeEmpty())
		Expect(s.store.has(key)).To(BeFalse())
	})

	// A next machine controller did not know of a machine that was taken down, and
	// took down more machines than the wave allows.
	It("takes no machine down before the order is saved in the wave's progress", func() {
		s.store.loseNextResponse(poolstore.UpkeepKey(wave))
		Expect(c.takeDown(ctx, wave, &p, []string{"m-a"}, machines)).NotTo(Succeed())
		Expect(c.takeDown(ctx, wave, &p, []string{"m-a"}, machines)).To(Succeed())
		Expect(stored().Ordered).To(HaveKey("m-a"))
	})

	// The request to empty a machine stayed after its upkeep, and the machine never
	// received work again.
	It("deletes a request to empty a machine that it failed to delete before", func() {
		snapshot := upkeep.Snapshot{Wave: upkeep.Wave{Number: wave, Machines: []string{"m-gone"}}, Progress: p}
		s.store.put(poolstore.EmptyRequestKey("m-gone"), nil, 0)
		s.store.loseNextResponse(poolstore.UpkeepKey(wave))
		Expect(c.recordReturned(ctx, wave, &p, upkeep.Plan(&snapshot).Returned)).NotTo(Succeed())
		Expect(c.recordReturned(ctx, wave, &p, upkeep.Plan(&snapshot).Returned)).To(Succeed())
		Expect(s.store.has(poolstore.EmptyRequestKey("m-gone"))).To(BeFalse())
	})
})
