package lending_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/upkeep"
)

// fleet returns pools of machines: name, machines in it, machines of its own.
func fleet(pools ...any) *lending.Snapshot {
	s := &lending.Snapshot{
		Needs: map[string]int{}, Home: map[string]int{}, Offers: map[string]lending.Offer{}, Machines: map[string]upkeep.Machine{},
		Standby: map[string]bool{"spare": true}, InTransit: map[string]string{}, UpkeepPending: map[string]bool{}, RecentlyOrdered: map[string]bool{},
	}
	for i := 0; i < len(pools); i += 3 {
		name := pools[i].(string)
		s.Home[name] = pools[i+2].(int)
		for n := range pools[i+1].(int) {
			id := fmt.Sprintf("%s-%d", name, n)
			s.Machines[id] = upkeep.Machine{ID: id, Pool: name, State: upkeep.Up}
		}
	}
	return s
}

func targets(steps lending.Steps) map[string]int {
	n := map[string]int{}
	for _, m := range steps.Moves {
		n[m.Target]++
	}
	return n
}

var _ = Describe("Plan", func() {
	It("in a burst, gives a pool what others offer before what is on standby", func() {
		s := fleet("tags", 4, 9, "deeds", 9, 9, "spare", 8, 8)
		s.Needs["tags"] = 3
		s.Offers["deeds-0"] = lending.Offer{Pool: "deeds"}
		steps := lending.Plan(s)
		Expect(targets(steps)).To(Equal(map[string]int{"tags": 3}))
		Expect(steps.Moves[0].Machine).To(Equal("deeds-0"))
		Expect(steps.Recalls).To(BeEmpty())
	})

	// scale-2 of the grown Safety Cell: a wave of 144 machines kept all that stood
	// by from the pool whose turn it was.
	It("in a turn during a wave, takes machines that are due for upkeep after all others", func() {
		s := fleet("tags", 4, 9, "spare", 3, 8)
		s.Needs["tags"] = 2
		s.UpkeepDeferrable = map[string]bool{"spare-0": true, "spare-1": true}
		Expect(lending.Plan(s).Moves).To(Equal([]lending.Move{{Machine: "spare-2", Target: "tags"}, {Machine: "spare-0", Target: "tags"}}))
	})

	It("between bursts, puts on standby what nobody needs", func() {
		s := fleet("tags", 9, 9, "spare", 0, 8)
		s.Offers["tags-1"] = lending.Offer{Pool: "tags"}
		Expect(lending.Plan(s).Moves).To(Equal([]lending.Move{{Machine: "tags-1", Target: "spare"}}))
	})

	// scale-2 of the Safety Cell: a flood of reviews held 34 of 49 machines while
	// bookings stood at two.
	It("in a flood of one pool, has it give back what another lacks of its own", func() {
		s := fleet("reviews", 34, 12, "bookings", 2, 9, "others", 5, 9, "spare", 0, 8)
		s.Needs["reviews"], s.Needs["bookings"] = 60, 15
		steps := lending.Plan(s)
		Expect(steps.Moves).To(BeEmpty())
		Expect(steps.Recalls).To(Equal(map[string]int{"reviews": 7}))
	})

	It("in two floods at once, serves the pool that lacks more of its own first, then the poorer", func() {
		s := fleet("tags", 2, 9, "vets", 9, 11, "spare", 10, 8)
		s.Needs["tags"], s.Needs["vets"] = 20, 20
		Expect(targets(lending.Plan(s))).To(Equal(map[string]int{"tags": 8, "vets": 2}))
	})

	It("counts machines on their way", func() {
		s := fleet("tags", 4, 9, "spare", 8, 8)
		s.Needs["tags"] = 2
		s.InTransit["spare-0"], s.InTransit["spare-1"] = "tags", "tags"
		Expect(lending.Plan(s).Moves).To(BeEmpty())
	})

	It("leaves alone what waits for upkeep, what was taken and what an earlier holder has just ordered", func() {
		s := fleet("tags", 4, 9, "spare", 3, 8)
		s.Needs["tags"] = 3
		s.UpkeepPending["spare-0"], s.RecentlyOrdered["spare-1"] = true, true
		s.Offers["spare-2"] = lending.Offer{Pool: "spare", Target: "vets"}
		Expect(lending.Plan(s).Moves).To(BeEmpty())
	})
})
