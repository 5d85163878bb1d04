package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("the report of a pool to the machine controller", func() {
	ctx := context.Background()
	need, offer := poolstore.NeedKey(sceneService), poolstore.OfferKey("m-a")
	var s *ownershipScene
	var r *capacityReporter

	stored := func() string {
		item, err := s.store.Get(ctx, need)
		Expect(err).NotTo(HaveOccurred())
		return string(item.Value)
	}

	BeforeEach(func() {
		s = newOwnershipScene()
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a")
		Expect(o.writeRoster(ctx)).To(Succeed())
		r = &capacityReporter{poolOwnership: o, offered: map[string]int64{}, claimed: map[string]bool{}, reportedNeed: -1}
		Expect(r.writeNeed(ctx, 0)).To(Succeed())
	})

	// A delayed write of a need replaced a later one: machines were moved to a pool
	// that no longer needed them.
	It("is not replaced by an earlier need whose write is applied late", func() {
		s.store.loseNextResponse(need)
		Expect(r.writeNeed(ctx, 5)).NotTo(Succeed())
		Expect(r.writeNeed(ctx, 1)).To(Succeed())
		s.store.applyDelayed()
		Expect(stored()).To(Equal("1"))
	})

	// A need whose write had an unknown outcome stayed in the store after it had
	// passed.
	It("is written again after a write with an unknown outcome, though the need is as before", func() {
		s.store.loseNextResponse(need)
		Expect(r.writeNeed(ctx, 5)).NotTo(Succeed())
		Expect(r.reportedNeed).NotTo(Equal(0))
	})

	// A delayed write offered a machine that had received work again, and it was
	// moved away.
	It("offers no machine late whose offer the pool has withdrawn", func() {
		s.store.loseNextResponse(offer)
		Expect(r.offer(ctx, []string{"m-a"})).NotTo(Succeed())
		back, err := r.withdraw(ctx, "m-a")
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(BeTrue())
		s.store.applyDelayed()
		Expect(s.store.has(offer)).To(BeFalse())
	})

	// An offer that was written, but whose response was lost, could never be
	// withdrawn.
	It("withdraws an offer whose write was applied late", func() {
		s.store.loseNextResponse(offer)
		Expect(r.offer(ctx, []string{"m-a"})).NotTo(Succeed())
		s.store.applyDelayed()
		for range 2 {
			_, err := r.withdraw(ctx, "m-a")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.store.has(offer)).To(BeFalse())
		Expect(r.offered).To(BeEmpty())
	})

	// Guards against a job that never starts as only an offered machine can run it, while
	// the pool has room enough in sum (review/2).
	It("withdraws the offer of a machine that a waiting task needs, though the pool needs no further one", func() {
		labelled := scheduler.WorkerInfo{
			ID: "b", Service: sceneService, Address: "b:1", Machine: "m-b", Incarnation: 1, Labels: []string{"large"},
			Capacity: scheduler.Resources{MilliCPU: 32000, MemoryMB: 131072},
		}
		plain := labelled
		plain.ID, plain.Address, plain.Machine, plain.Labels = "a", "a:1", "m-a", nil
		r.pool.SetWorkers([]scheduler.WorkerInfo{plain, labelled}, s.clock.Now())
		s.poll(r.poolOwnership, "b")
		Expect(r.writeRoster(ctx)).To(Succeed())
		s.clock.Advance(10 * time.Second) // a former owner's orders and leases are over
		r.pool.Plan(s.clock.Now(), s.clock.Now())
		Expect(r.offer(ctx, []string{"m-b"})).To(Succeed())
		r.pool.AddJob(scheduler.Submission{ID: "j", Queue: "checks", Service: sceneService, Stretch: 1, AcceptedAt: s.clock.Now(), Objective: time.Minute, Steps: []scheduler.Step{
			{Count: 1, Need: scheduler.Resources{MilliCPU: 2000}, Estimate: time.Second, Label: "large"},
		}}, r.token+1, r.token+1, scheduler.Progress{}, s.clock.Now())
		r.pool.Plan(s.clock.Now(), s.clock.Now())
		s.clock.Advance(time.Second)
		Expect(r.step(ctx)).To(Succeed())
		Expect(s.store.has(poolstore.OfferKey("m-b"))).To(BeFalse())
		Expect(r.pool.Plan(s.clock.Now(), s.clock.Now()).Starts).To(HaveLen(1))
	})
})
