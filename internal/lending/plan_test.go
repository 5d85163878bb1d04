package lending_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/upkeep"
)

// fleet returns a snapshot of pools. Each is given by three arguments: name, number
// of machines in it, and its own number of machines.
func fleet(pools ...any) *lending.Snapshot {
	s := &lending.Snapshot{
		Needs: map[string]int{}, OwnMachines: map[string]int{}, Offers: map[string]lending.Offer{}, Machines: map[string]upkeep.Machine{},
		Standby: map[string]bool{"spare": true}, InTransit: map[string]string{}, UpkeepPending: map[string]bool{}, RecentlyOrdered: map[string]bool{},
	}
	for i := 0; i < len(pools); i += 3 {
		name := pools[i].(string)
		s.OwnMachines[name] = pools[i+2].(int)
		for n := range pools[i+1].(int) {
			id := fmt.Sprintf("%s-%d", name, n)
			s.Machines[id] = upkeep.Machine{ID: id, Pool: name, State: upkeep.Up}
		}
	}
	return s
}

// targets counts the moves by target pool.
func targets(steps lending.Steps) map[string]int {
	n := map[string]int{}
	for _, m := range steps.Moves {
		n[m.Target]++
	}
	return n
}

var _ = Describe("Plan", func() {
	It("in a burst, takes machines that pools offer before machines on standby", func() {
		s := fleet("tags", 4, 9, "deeds", 9, 9, "spare", 8, 8)
		s.Needs["tags"] = 3
		s.Offers["deeds-0"] = lending.Offer{Pool: "deeds"}
		steps := lending.Plan(s)
		Expect(targets(steps)).To(Equal(map[string]int{"tags": 3}))
		Expect(steps.Moves[0].Machine).To(Equal("deeds-0"))
		Expect(steps.Recalls).To(BeEmpty())
	})

	// Guards against a maintenance wave that blocks all standby machines: a wave over
	// 144 machines kept all of them from the pool that needed them (bench, scale-2
	// of the grown Safety Cell).
	It("in a shift of load during a wave, takes machines that still need upkeep last", func() {
		s := fleet("tags", 4, 9, "spare", 3, 8)
		s.Needs["tags"] = 2
		s.UpkeepDeferrable = map[string]bool{"spare-0": true, "spare-1": true}
		Expect(lending.Plan(s).Moves).To(Equal([]lending.Move{{Machine: "spare-2", Target: "tags"}, {Machine: "spare-0", Target: "tags"}}))
	})

	It("between bursts, puts offered machines that no pool needs on standby", func() {
		s := fleet("tags", 9, 9, "spare", 0, 8)
		s.Offers["tags-1"] = lending.Offer{Pool: "tags"}
		Expect(lending.Plan(s).Moves).To(Equal([]lending.Move{{Machine: "tags-1", Target: "spare"}}))
	})

	// Guards against one overloaded pool that starves another: reviews held 34 of 49
	// machines while bookings had two (bench, scale-2 of the Safety Cell).
	It("in overload of one pool, recalls from it the machines that another pool lacks to reach its own number", func() {
		s := fleet("reviews", 34, 12, "bookings", 2, 9, "others", 5, 9, "spare", 0, 8)
		s.Needs["reviews"], s.Needs["bookings"] = 60, 15
		steps := lending.Plan(s)
		Expect(steps.Moves).To(BeEmpty())
		Expect(steps.Recalls).To(Equal(map[string]int{"reviews": 7}))
	})

	It("in overload of two pools, serves first the one further below its own number, then the one with fewer machines", func() {
		s := fleet("tags", 2, 9, "vets", 9, 11, "spare", 10, 8)
		s.Needs["tags"], s.Needs["vets"] = 20, 20
		Expect(targets(lending.Plan(s))).To(Equal(map[string]int{"tags": 8, "vets": 2}))
	})

	It("counts machines in transit", func() {
		s := fleet("tags", 4, 9, "spare", 8, 8)
		s.Needs["tags"] = 2
		s.InTransit["spare-0"], s.InTransit["spare-1"] = "tags", "tags"
		Expect(lending.Plan(s).Moves).To(BeEmpty())
	})

	It("does not move machines that wait for upkeep, were taken or were just ordered by an earlier controller", func() {
		s := fleet("tags", 4, 9, "spare", 3, 8)
		s.Needs["tags"] = 3
		s.UpkeepPending["spare-0"], s.RecentlyOrdered["spare-1"] = true, true
		s.Offers["spare-2"] = lending.Offer{Pool: "spare", Target: "vets"}
		Expect(lending.Plan(s).Moves).To(BeEmpty())
	})

	// Guards against a job that waits for the one kind of machine that can run it, while its
	// pool receives others (review/2).
	It("moves machines of the kind that a pool needs, from other pools' offers and from standby, and no others", func() {
		s := fleet("tags", 4, 9, "deeds", 3, 9, "spare", 3, 8)
		for _, id := range []string{"deeds-1", "spare-2", "tags-0"} {
			m := s.Machines[id]
			m.Labels, m.Capacity = []string{"rack-1"}, scheduler.Resources{MilliCPU: 32000}
			s.Machines[id] = m
		}
		s.Offers["deeds-0"], s.Offers["deeds-1"], s.Offers["tags-0"] = lending.Offer{Pool: "deeds"}, lending.Offer{Pool: "deeds"}, lending.Offer{Pool: "tags"}
		s.Kinds = map[string][]scheduler.KindNeed{"tags": {{Label: "rack-1", Capacity: scheduler.Resources{MilliCPU: 4000}, Count: 3}}}
		s.Standby["spare"] = true
		moves := lending.Plan(s).Moves
		Expect(moves).To(ContainElements(lending.Move{Machine: "deeds-1", Target: "tags"}, lending.Move{Machine: "spare-2", Target: "tags"}))
		Expect(targets(lending.Plan(s))["tags"]).To(Equal(2))
		s.InTransit["spare-2"] = "tags"
		Expect(targets(lending.Plan(s))["tags"]).To(Equal(1), "one is on its way")
	})
})
