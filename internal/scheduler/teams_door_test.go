package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/door"
	"persimmonbay/internal/teams"
)

var _ = Describe("a pool's report to the door", func() {
	const rate = 40 // jobs a second, of 16 that the pool serves
	shares := map[string]teams.Share{"large": {Weight: 2 * rate}, "huts": {Weight: 1}}
	// decide returns the verdict on one more job of the team.
	decide := func(l *teamsLoad, team string) door.Verdict {
		report, ok := l.pool.DoorReport(l.now)
		Expect(ok).To(BeTrue())
		j := door.Job{ID: "next", Team: team, Queue: "q8", Depth: 1, Stretch: 1.6, Objective: 600 * time.Millisecond}
		return door.Decide(&report, &j, l.now)
	}

	// Load: more than twice what the pool serves, within the weight of one team, and a
	// team that has sent its own weight.
	It("has jobs beyond a weight refused while the others' work takes longer than they are of use", func() {
		l := newTeamsLoad(teamWorkers, shares, 1)
		l.play(10*time.Second, map[string]float64{"large": rate})
		for range 5 {
			l.submit("huts", 8, 800*time.Millisecond)
		}
		l.tick()
		v := decide(l, "huts")
		Expect(v.Refused()).To(BeTrue(), fmt.Sprint(v))
		Expect(decide(l, "large").Cause).To(Equal(door.Within))
		refused := l.submit("huts", 8, 800*time.Millisecond) // an entry without a report accepts it
		l.play(v.Useful, map[string]float64{"large": rate})
		Expect(l.doneAt).NotTo(HaveKey(refused), "the refusal was right")
	})

	It("has none refused while there is room", func() {
		l := newTeamsLoad(teamWorkers, shares, 1)
		l.play(5*time.Second, map[string]float64{"large": 5})
		for range 5 {
			l.submit("huts", 8, 800*time.Millisecond)
		}
		l.tick()
		Expect(decide(l, "huts").Cause).To(Equal(door.InTime))
	})

	It("is none without teams", func() {
		l := newTeamsLoad(teamWorkers, nil, 1)
		_, ok := l.pool.DoorReport(l.now)
		Expect(ok).To(BeFalse())
	})
})
