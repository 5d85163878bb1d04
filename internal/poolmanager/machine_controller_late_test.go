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

var _ = Describe("the holder of the duty for machines", func() {
	ctx := context.Background()
	const wave = 3
	var s *ownershipScene
	var d *machineController
	var p upkeep.Progress
	machines := map[string]upkeep.Machine{"m-a": {ID: "m-a", Worker: "a"}, "m-b": {ID: "m-b", Worker: "b"}}

	kept := func() upkeep.Progress {
		key := poolstore.UpkeepKey(wave)
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		progress, err := poolstore.DecodeUpkeep(key, item.Value)
		Expect(err).NotTo(HaveOccurred())
		return progress
	}

	BeforeEach(func() {
		s, d = newControllerScene()
		var err error
		p, err = d.loadProgress(ctx, wave)
		Expect(err).NotTo(HaveOccurred())
	})

	// The next holder counts too few machines as down, or takes one down twice.
	It("leaves no earlier progress of a wave that replaces a later one", func() {
		p.Done["m-a"] = true
		s.store.loseNext(poolstore.UpkeepKey(wave))
		Expect(d.saveProgress(ctx, wave, &p, store.Txn{})).NotTo(Succeed())
		p.Done["m-b"] = true
		Expect(d.saveProgress(ctx, wave, &p, store.Txn{})).To(Succeed())
		s.store.carryOut()
		Expect(kept().Done).To(HaveLen(2))
	})

	// Operators see a completed wave as one that goes on.
	It("leaves no earlier state of a wave that replaces a later one", func() {
		s.store.loseNext("told/")
		Expect(d.writeWaveStatus(ctx, wave, false)).NotTo(Succeed())
		Expect(d.writeWaveStatus(ctx, wave, true)).To(Succeed())
		s.store.carryOut()
		item, err := s.store.Get(ctx, "told/wave")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(item.Value)).To(Equal("completed"))
	})

	// A machine whose upkeep is over is emptied again, and nobody gives it back.
	It("asks for no machine late that is back", func() {
		s.store.loseNext(poolstore.EmptyKey("m-a"))
		Expect(d.requestEmptying(ctx, wave, []string{"m-a"}, s.clock.Now().Add(time.Minute))).NotTo(Succeed())
		Expect(d.recordReturned(ctx, wave, &p, []string{"m-a"})).To(Succeed())
		s.store.carryOut()
		Expect(s.store.has(poolstore.EmptyKey("m-a"))).To(BeFalse())
	})

	// A pool gives machines up that nobody needs any more.
	It("leaves no earlier recall that replaces a later one", func() {
		key := poolstore.RecallKey(sceneService)
		s.store.loseNext(key)
		Expect(d.writeRecalls(ctx, map[string]int{sceneService: 2})).NotTo(Succeed())
		Expect(d.writeRecalls(ctx, map[string]int{})).To(Succeed())
		s.store.carryOut()
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(item.Value)).To(Equal("0"))
	})

	// A pool gives machines up for ever that the last holder has recalled.
	It("withdraws what the last holder has recalled", func() {
		key := poolstore.RecallKey(sceneService)
		s.store.put(key, []byte("2"), 0)
		Expect(d.writeRecalls(ctx, map[string]int{})).To(Succeed())
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(item.Value)).To(Equal("0"))
	})

	// A machine that has reached its pool meanwhile is moved on, and its tasks end.
	It("does not carry out a claim that was made late, of a machine that has moved since", func() {
		key := poolstore.OfferKey("m-a")
		listed := map[string]upkeep.Machine{"m-a": {ID: "m-a", Pool: "standby", State: upkeep.Up}}
		s.store.loseNext(key)
		_, err := d.claim(ctx, []lending.Move{{Machine: "m-a", Target: "other"}}, listed, d.view.Get())
		Expect(err).To(HaveOccurred())
		listed["m-a"] = upkeep.Machine{ID: "m-a", Pool: sceneService, State: upkeep.Up, Worker: "a"}
		s.store.carryOut()
		item, err := s.store.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		view := newReportView()
		Expect(view.apply(store.Event{Item: item})).To(Succeed())
		d.view.Update(func(reportView) (reportView, bool) { return view, true })
		Expect(d.lend(ctx, listed)).To(Succeed())
		Expect(s.machines.moved).To(BeEmpty())
		Expect(s.store.has(key)).To(BeFalse())
	})

	// The next holder does not know of a machine that was taken down, and takes
	// down more than the wave allows.
	It("takes no machine down before the intention is kept", func() {
		s.store.loseNext(poolstore.UpkeepKey(wave))
		Expect(d.takeDown(ctx, wave, &p, []string{"m-a"}, machines)).NotTo(Succeed())
		Expect(d.takeDown(ctx, wave, &p, []string{"m-a"}, machines)).To(Succeed())
		Expect(kept().Ordered).To(HaveKey("m-a"))
	})

	// A machine that is back takes no work for good.
	It("gives a machine back that could not be given back before", func() {
		snapshot := upkeep.Snapshot{Wave: upkeep.Wave{Number: wave, Machines: []string{"m-gone"}}, Progress: p}
		s.store.put(poolstore.EmptyKey("m-gone"), nil, 0)
		s.store.loseNext(poolstore.UpkeepKey(wave))
		Expect(d.recordReturned(ctx, wave, &p, upkeep.Plan(&snapshot).Returned)).NotTo(Succeed())
		Expect(d.recordReturned(ctx, wave, &p, upkeep.Plan(&snapshot).Returned)).To(Succeed())
		Expect(s.store.has(poolstore.EmptyKey("m-gone"))).To(BeFalse())
	})
})
