package maintenance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/maintenance"
)

// Highest ratios of the measured values to their lower bounds.
const (
	rolloutTarget = 1.5
	movesTarget   = 1.2
)

// presentFleet models the users' present fleet, whose five services have eight to
// twelve runners: here nine each, and three spares. The budgets of two services
// allow no instance to be unavailable.
func presentFleet() *replay {
	return newReplay(5, 9, 3, 3, func(pool int) float64 { return []float64{0.25, 0.25, 0.12, 0.05, 0.05}[pool] })
}

// targetFleet has 910 instances in 251 pools and eight zones; the budget of
// every tenth pool allows no instance to be unavailable.
func targetFleet() *replay {
	return newReplay(250, 3, 8, 160, func(pool int) float64 {
		if pool%10 == 0 {
			return 0.1
		}
		return 0.34
	})
}

var _ = DescribeTable("a replayed wave against its lower bounds",
	func(newFleet func() *replay, atOnce int, strategies ...maintenance.Strategy) {
		for _, strategy := range strategies {
			r := newFleet()
			rollout, moves, instances := r.lowestRollout(atOnce), r.fewestMoves(), len(r.snapshot.Records)
			got := r.wave(strategy, atOnce)
			GinkgoWriter.Printf("%-6s %4d instances: roll-out %s (bound %s, %.2f), moves %d (bound %d), buffer %d, short %d, writes %d\n",
				strategy, instances, got.rollout, rollout, float64(got.rollout)/float64(rollout), got.moves, moves, got.buffer, got.short, got.writes)
			Expect(got.short).To(BeZero(), "no pool is below its budget")
			if strategy == maintenance.Spread {
				Expect(got.rollout).NotTo(BeZero(), "the wave ends")
				Expect(float64(got.rollout)).To(BeNumerically("<=", rolloutTarget*float64(rollout)))
				Expect(float64(got.moves)).To(BeNumerically("<=", movesTarget*float64(moves)))
			}
		}
	},
	Entry("the present fleet", presentFleet, maintenance.DefaultMaxDown, maintenance.OneAtATime, maintenance.RackByRack, maintenance.ZoneByZone, maintenance.Spread),
	Entry("the target fleet", targetFleet, maintenance.DefaultMaxDown, maintenance.ZoneByZone, maintenance.Spread),
)

var _ = Describe("a failure shorter than LendAfter", func() {
	It("moves no instance", func() {
		r := presentFleet()
		wave, err := maintenance.RequestWave(&r.snapshot, maintenance.Wave{ID: "wave"})
		Expect(err).NotTo(HaveOccurred())
		r.snapshot.Wave = wave
		r.setState("pool-002-00", "leaving")
		for r.step(); r.snapshot.Now.Sub(wave.Started) < r.policy.LendAfter; r.step() { // the budget of pool-002 allows one to be unavailable
			for _, record := range r.snapshot.Records {
				Expect(record.Pool == "pool-002" && record.Lent()).To(BeFalse())
			}
		}
		Expect(r.snapshot.Now.Sub(wave.Started)).To(BeNumerically(">=", time.Minute))
	})
})
