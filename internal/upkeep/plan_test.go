package upkeep_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/upkeep"
)

// wave returns a snapshot of a wave over machines that are up. Two may be down at
// once.
func wave(machines ...string) *upkeep.Snapshot {
	s := &upkeep.Snapshot{
		Wave: upkeep.Wave{Number: 1, Machines: machines, MaxDown: 2}, Machines: map[string]upkeep.Machine{},
		Emptying: map[string]upkeep.Emptying{}, Progress: upkeep.NewProgress(),
	}
	for _, m := range machines {
		s.Machines[m] = upkeep.Machine{ID: m, Pool: "tags", Worker: "w-" + m}
	}
	return s
}

var _ = Describe("a wave", func() {
	It("can wait while the remaining time is enough for all turns", func() {
		w := upkeep.Wave{Machines: make([]string, 140), Within: 25 * time.Second, MaxDown: 70}
		p := upkeep.NewProgress()
		p.Since = time.Unix(1_700_000_000, 0)
		Expect(w.CanWait(&p, p.Since)).To(BeTrue())
		Expect(w.CanWait(&p, p.Since.Add(10*time.Second))).To(BeFalse())
		w.MaxDown = 20
		Expect(w.CanWait(&p, p.Since)).To(BeFalse())
	})

	It("requests emptying of all machines at once, and takes down only emptied ones, up to the limit", func() {
		s := wave("a", "b", "c", "d")
		Expect(upkeep.Plan(s).Empty).To(Equal([]string{"a", "b", "c", "d"}))
		Expect(upkeep.Plan(s).TakeDown).To(BeEmpty())
		s.Emptying["a"], s.Emptying["b"], s.Emptying["c"], s.Emptying["d"] = upkeep.Emptied, upkeep.Emptied, upkeep.Emptied, upkeep.Requested
		steps := upkeep.Plan(s)
		Expect(steps.TakeDown).To(Equal([]string{"a", "b"}))
		Expect(steps.Empty).To(BeEmpty())
	})

	It("counts machines ordered by an earlier controller as down, and repeats their orders", func() {
		s := wave("a", "b", "c")
		s.Progress.Ordered["a"] = "w-a"
		s.Emptying["a"], s.Emptying["b"], s.Emptying["c"] = upkeep.Emptied, upkeep.Emptied, upkeep.Emptied
		Expect(upkeep.Plan(s).TakeDown).To(Equal([]string{"a", "b"}))
	})

	It("regards a machine as back only with another worker, and is completed when all are back", func() {
		s := wave("a")
		s.Progress.Ordered["a"], s.Progress.Confirmed["a"] = "w-a", true
		Expect(upkeep.Plan(s).Returned).To(BeEmpty())
		s.Machines["a"] = upkeep.Machine{ID: "a", State: upkeep.InUpkeep}
		Expect(upkeep.Plan(s).Completed).To(BeFalse())
		s.Machines["a"] = upkeep.Machine{ID: "a", Worker: "w-new"}
		steps := upkeep.Plan(s)
		Expect(steps.Returned).To(Equal([]string{"a"}))
		Expect(steps.Completed).To(BeTrue())
	})

	// Guards against a wave over standby machines that is never reported as completed
	// (bench, quiet-1 of the Registry).
	It("regards a machine on standby, which has no worker, as back once its upkeep is over", func() {
		s := wave("a")
		s.Machines["a"] = upkeep.Machine{ID: "a", Pool: "spare"}
		Expect(upkeep.Plan(s).TakeDown).To(Equal([]string{"a"}))
		s.Progress.Ordered["a"], s.Progress.Confirmed["a"] = "", true
		s.Machines["a"] = upkeep.Machine{ID: "a", Pool: "spare", State: upkeep.InUpkeep}
		Expect(upkeep.Plan(s).Completed).To(BeFalse())
		s.Machines["a"] = upkeep.Machine{ID: "a", Pool: "spare"}
		Expect(upkeep.Plan(s).Completed).To(BeTrue())
	})

	It("does not wait for machines that are no longer listed", func() {
		s := wave("a")
		delete(s.Machines, "a")
		Expect(upkeep.Plan(s).Completed).To(BeTrue())
	})
})
