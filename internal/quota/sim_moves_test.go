package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/quota"
)

// fill keeps tasks waiting in a pool.
func (s *sim) fill(pools ...int) func() {
	return func() {
		for _, i := range pools {
			for len(s.pools[i].waiting) < 20 {
				s.pools[i].waiting = append(s.pools[i].waiting, simTask{since: s.now, n: 1, each: 500 + s.rng.IntN(1500)})
			}
		}
	}
}

// until plays up to the given time.
func (s *sim) until(at time.Duration, demand func()) {
	for s.elapsed() < at {
		s.tick(demand, func() {})
	}
}

func (s *sim) runningInAll() int {
	sum := 0
	for _, p := range s.pools {
		sum += p.running(s.now)
	}
	return sum
}

var _ = Describe("a team's room under its cap, in virtual time", func() {
	const most = 80000 / 2 // the users' rule on waits holds for a team that has less
	It("is in use in another pool a second after the demand moved there", func() {
		for seed := range simSeeds() {
			s := newSim(seed)
			s.until(6*time.Second, s.fill(0))
			Expect(s.pools[0].running(s.now)).To(BeNumerically(">", most), "seed %d", seed)
			s.pools[0].waiting = nil
			s.until(7*time.Second, s.fill(1))
			Expect(s.runningInAll()).To(BeNumerically(">", most), "seed %d", seed)
			s.until(9*time.Second, s.fill(1))
			Expect(s.pools[1].running(s.now)).To(BeNumerically(">", most), "seed %d", seed)
			Expect(s.broken).To(BeEmpty())
		}
	})

	It("is in use again a second after a pool was taken over", func() {
		for seed := range simSeeds() {
			s := newSim(seed)
			s.until(6*time.Second, s.fill(0))
			s.pools[0].lose(s.now)
			taken := s.pools[0].takeOver.Sub(s.changedAt[0])
			s.until(taken+simTick, s.fill(0))
			for w := range s.pools[0].owner.fencedAt { // all workers answer
				s.pools[0].owner.fencedAt[w] = s.now.Add(time.Duration(s.rng.IntN(300)) * time.Millisecond)
			}
			s.until(taken+time.Second, s.fill(0))
			Expect(s.runningInAll()).To(BeNumerically(">", most), "seed %d", seed)
			Expect(s.broken).To(BeEmpty())
		}
	})

	It("is shared evenly by pools that are short", func() {
		s := newSim(1)
		s.until(6*time.Second, s.fill(0))
		s.until(14*time.Second, s.fill(0, 1))
		Expect(s.pools[1].running(s.now)).To(BeNumerically("~", 40000, 8000))
	})
})

var _ = Describe("the keeper of a pool's grants", func() {
	now := time.Unix(1_700_000_000, 0)
	amount := func(cpu int) quota.Amount { return quota.Amount{MilliCPU: cpu} }
	It("returns what a pool had that has long left the configuration", func() {
		k := quota.NewKeeper("a", 7)
		k.Configure(map[string]quota.Amount{simTeam: amount(1000)}, []string{"a"})
		k.Observe(simTeam, quota.Account{Pools: map[string]quota.Grant{"gone": {Granted: amount(900)}}}, 5)
		demands := map[string]quota.Demand{simTeam: {Waiting: amount(500)}}
		Expect(k.Propose(demands, now)[0].Account.Pools["a"].Granted).To(Equal(amount(100)))
		k.Propose(demands, now.Add(46*time.Second))
		later := k.Propose(demands, now.Add(46*time.Second)) // an owner decides twice
		Expect(later[0].Account.Pools).NotTo(HaveKey("gone"))
		Expect(later[0].Revision).To(BeEquivalentTo(5))
	})

	It("grants nothing of resources that the cap does not limit", func() {
		k := quota.NewKeeper("a", 7)
		k.Configure(map[string]quota.Amount{simTeam: {MilliCPU: 1000}}, []string{"a"})
		k.Observe(simTeam, quota.Account{}, 0)
		p := k.Propose(map[string]quota.Demand{simTeam: {Waiting: quota.Amount{MilliCPU: 100, MemoryMB: 1 << 30}}}, now)
		Expect(p[0].Account.Pools["a"].Granted.MemoryMB).To(BeZero())
	})
})
