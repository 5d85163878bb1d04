package scheduler_test

import (
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/teams"
)

// twentyTeams returns teams of which a few are large, with their usual rates in jobs a
// second, which sum to usualLoad, and weights of headroom times these, at least one.
func twentyTeams(headroom float64) (rates map[string]float64, shares map[string]teams.Share) {
	rates, shares = map[string]float64{}, map[string]teams.Share{}
	sum := 0.0
	for i := range 20 {
		sum += 1 / float64(i+1)
	}
	for i := range 20 {
		name := fmt.Sprintf("team%02d", i)
		rates[name] = usualLoad / float64(i+1) / sum
		shares[name] = teams.Share{Weight: max(headroom*rates[name], 1)}
	}
	return rates, shares
}

// The pool of these tests serves 16 jobs a second.
const (
	teamWorkers = 8
	usualLoad   = 9.5 // jobs a second
	teamSeeds   = 6
)

// busyPlay returns what each team earns while the teams send factor times their usual rates
// for ten seconds, over all seeds. shared is false if no team has a share.
func busyPlay(factor map[string]float64, headroom float64, shared bool) map[string]float64 {
	earned := map[string]float64{}
	for seed := range teamSeeds {
		rates, shares := twentyTeams(headroom)
		l := newTeamsLoad(teamWorkers, shares, int64(seed))
		if !shared {
			l.pool.SetTeams(nil)
		}
		l.play(5*time.Second, rates)
		begin, busy := l.now, maps.Clone(rates)
		for team, f := range factor {
			busy[team] *= f
		}
		l.play(10*time.Second, busy)
		l.play(8*time.Second, rates)
		l.earned(begin, earned)
	}
	return earned
}

var _ = Describe("a full pool whose teams have shares", func() {
	// Load: one team at six times its usual rate for ten seconds, at a pool of which
	// three fifths are in use. Its weight covers a third of that, or two thirds as when
	// the pool sees half of what it sends.
	for hot, headrooms := range map[string][]float64{"team00": {1.9, 3.8}, "team01": {3.8}} {
		for _, headroom := range headrooms {
			It(fmt.Sprintf("costs the other teams less than a twentieth while %s sends six times its usual, with a weight of %.1f times that", hot, headroom), func() {
				without, with := busyPlay(nil, headroom, true), busyPlay(map[string]float64{hot: 6}, headroom, true)
				for name := range without {
					if name != hot {
						Expect(with[name]).To(BeNumerically(">=", 0.95*without[name]), name)
					}
				}
			})
		}
	}

	// Load: a team without weight that alone would fill the pool three times.
	It("costs the other teams less than a twentieth while a team of weight 0 sends without end, which has what they leave", func() {
		rates, shares := twentyTeams(3.8)
		shares["none"] = teams.Share{}
		play := func(rate float64) map[string]float64 {
			earned := map[string]float64{}
			rates["none"] = rate
			for seed := range teamSeeds {
				l := newTeamsLoad(teamWorkers, shares, int64(seed))
				l.play(15*time.Second, rates)
				l.play(5*time.Second, map[string]float64{})
				l.earned(time.Time{}, earned)
			}
			return earned
		}
		without, with := play(0), play(50)
		for name := range without {
			Expect(with[name]).To(BeNumerically(">=", 0.95*without[name]), name)
		}
		Expect(with["none"]).To(BeNumerically(">", 0))
	})

	It("serves jobs without teams in the configuration as if they had none", func() {
		rates, shares := twentyTeams(1.9)
		rates["team00"] *= 6
		play := func(nameless bool) map[string]time.Time {
			l := newTeamsLoad(teamWorkers, shares, 1)
			l.pool.SetTeams(nil)
			l.nameless = nameless
			l.play(10*time.Second, rates)
			Expect(l.pool.TeamCounts()).To(BeEmpty())
			return l.doneAt
		}
		Expect(play(false)).To(Equal(play(true)))
	})

	// Load: all teams at twice their usual rates for ten seconds.
	It("keeps the gain of the order by remaining work when all teams send too much", func() {
		factor := map[string]float64{}
		rates, _ := twentyTeams(8)
		for name := range rates {
			factor[name] = 2
		}
		total := func(shared bool) (sum float64) {
			for _, credit := range busyPlay(factor, 8, shared) {
				sum += credit
			}
			return sum
		}
		Expect(total(true)).To(BeNumerically(">=", 0.95*total(false)))
	})

	// Load: small jobs of one team that alone would fill the pool, without end.
	It("starts the largest job of another team within its bound, and the first job of the smallest team at once", func() {
		const perSecond = 18
		l := newTeamsLoad(teamWorkers, map[string]teams.Share{"large": {Weight: 2 * perSecond}, "small": {Weight: 1}}, 1)
		l.play(5*time.Second, map[string]float64{"large": perSecond})
		small := l.submit("small", 8, 800*time.Millisecond)
		largest := l.submit("large", 256, 800*time.Millisecond)
		l.play(20*time.Second, map[string]float64{"large": perSecond})
		Expect(l.doneAt).To(HaveKey(small))
		Expect(l.doneAt[small].Sub(l.jobs[small].AcceptedAt)).To(BeNumerically("<", 2*time.Second), "one run of others and its own")
		Expect(l.doneAt).To(HaveKey(largest))
		Expect(l.doneAt[largest].Sub(l.jobs[largest].AcceptedAt)).To(BeNumerically("<", 15*time.Second), "the bound, and two turns of the whole pool")
	})
})
