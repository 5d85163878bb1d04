package quota_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/seeds"
)

// simSeeds returns how many seeds to play: a few, or as many as PERSIMMONBAY_SEEDS says.
func simSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("PERSIMMONBAY_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 12
}

// addDemand adds tasks in the pools that are busy; which are changes within a second.
func (s *sim) addDemand() {
	for _, p := range s.pools {
		if s.now.After(p.busyTo) && s.rng.IntN(150) == 0 {
			p.busyTo = s.now.Add(time.Duration(200+s.rng.IntN(3000)) * time.Millisecond)
		}
		if s.now.After(p.busyTo) || len(p.waiting) > 30 || s.rng.IntN(2) == 0 {
			continue
		}
		t := simTask{since: s.now, n: 1, each: 500 + s.rng.IntN(largestTask-500)}
		if s.rng.IntN(10) == 0 {
			t.n = 2 + s.rng.IntN(4)
		}
		p.waiting = append(p.waiting, t)
	}
}

func (s *sim) fail() { s.calmFrom = s.now }

// play plays 40 s and returns the simulation. Faults come after 3 s and up to 25 s.
func play(seed uint64, fault func(s *sim)) *sim {
	s := newSim(seed)
	for s.elapsed() < 40*time.Second {
		s.tick(s.addDemand, func() {
			if at := s.elapsed(); at > 3*time.Second && at < 25*time.Second {
				fault(s)
			}
		})
	}
	return s
}

var _ = Describe("a team's cap over pools, in virtual time", func() {
	rare := func(s *sim, oneIn int) bool { return s.rng.IntN(oneIn) == 0 }
	loseOwners := func(s *sim) {
		if rare(s, 150) {
			s.fail()
			s.pools[s.rng.IntN(len(s.pools))].lose(s.now)
		}
	}
	loseResponses := func(s *sim) { s.fail(); s.store.lossy = 0.4 }
	changeCaps := func(s *sim) {
		if rare(s, 250) {
			s.fail()
			s.caps, s.changedAt = append(s.caps, []int{8000, 20000, 80000, 120000}[s.rng.IntN(4)]), append(s.changedAt, s.now)
		}
	}
	takeStoreAway := func(s *sim) {
		if rare(s, 300) {
			s.fail()
			s.store.awayTo = s.now.Add(time.Duration(500+s.rng.IntN(4000)) * time.Millisecond)
		}
	}
	startLate := func(s *sim) {
		s.fail()
		s.lateShare = 0.2
		if rare(s, 50) {
			s.pools[s.rng.IntN(len(s.pools))].restart(s.rng.IntN(simWorkers), s.now)
		}
	}
	cutOff := func(s *sim) {
		s.fail()
		if s.cutShare = 0.05; s.elapsed() > 24*time.Second {
			s.cutShare = 0
		}
	}
	DescribeTable("holds at each start, late ones included, and leaves nobody waiting in calm",
		func(faults ...func(*sim)) {
			var mu sync.Mutex
			var broken []string
			seeds.Each(simSeeds(), func(seed uint64) {
				s := play(seed, func(s *sim) {
					for _, f := range faults {
						f(s)
					}
				})
				if s.broken == "" && s.longest > 3*time.Second {
					s.broken = fmt.Sprintf("a task waited for %v with its team under half of its cap", s.longest)
				}
				if s.broken == "" && s.started < 50 {
					s.broken = fmt.Sprintf("only %d starts", s.started)
				}
				if s.broken != "" {
					mu.Lock()
					defer mu.Unlock()
					broken = append(broken, fmt.Sprintf("seed %d: %s", seed, s.broken))
				}
			})
			Expect(broken).To(BeEmpty())
		},
		Entry("while demand moves from pool to pool"),
		Entry("while owners die and former ones act on", loseOwners),
		Entry("while responses of the store are lost and writes are applied late", loseResponses),
		Entry("while caps fall and rise", changeCaps),
		Entry("while the store is away", takeStoreAway),
		Entry("while starts are carried out late", startLate),
		Entry("while workers are cut off until their leases have ended", cutOff),
		Entry("under all of these at once", loseOwners, loseResponses, changeCaps, takeStoreAway, startLate, cutOff),
	)
})
