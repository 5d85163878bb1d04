package door_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/door"
)

var _ = Describe("the door of a pool that is far behind", func() {
	now := time.Unix(1_700_000_000, 0)
	var r door.Report
	var j door.Job
	BeforeEach(func() {
		// Load: a team has sent its weight; the others' work keeps 100 cores busy for 20 s.
		r = door.Report{
			At: now.Add(-200 * time.Millisecond), Cores: 100, Within: 2000,
			Spent: []door.Spent{{Team: "huts", For: 3 * time.Second}}, Paces: []door.Pace{{Queue: "holds", Step: 800 * time.Millisecond}},
		}
		j = door.Job{ID: "j", Team: "huts", Queue: "holds", Depth: 2, Stretch: 1.5, Objective: 600 * time.Millisecond} // of use for 9 s
	})
	cause := func() door.Cause { return door.Decide(&r, &j, now).Cause }

	It("refuses what a team sends beyond its weight, until there is room for it", func() {
		v := door.Decide(&r, &j, now)
		Expect(v.Refused()).To(BeTrue())
		Expect(v.Age).To(Equal(200 * time.Millisecond))
		Expect(v.RetryAfter).To(And(BeNumerically(">=", 12400*time.Millisecond), BeNumerically("<=", 24800*time.Millisecond)))
	})

	It("spreads the return of the refused evenly", func() {
		seconds := map[int]int{}
		for i := range 1200 {
			j.ID = fmt.Sprintf("%016x", i*7919)
			v := door.Decide(&r, &j, now)
			seconds[int(v.RetryAfter.Seconds())]++
		}
		Expect(len(seconds)).To(BeNumerically(">=", 12))
		for _, n := range seconds {
			Expect(n).To(BeNumerically("<", 200))
		}
	})

	DescribeTable("accepts", func(change func(), want door.Cause) {
		change()
		Expect(cause()).To(Equal(want))
	},
		Entry("what is within the weight", func() { j.Team = "agencies" }, door.Within),
		Entry("a job without a team", func() { j.Team, r.Spent[0].Team = "", "" }, door.Within),
		Entry("a job that the weight allows again by now", func() { r.Spent[0].For = 200 * time.Millisecond }, door.Within),
		Entry("jobs that start later or go on", func() { j.Deferred = true }, door.Deferred),
		Entry("while there is room", func() { r.Within = 0 }, door.InTime),
		Entry("what may end late but of some use", func() { r.Within = 1200 }, door.InTime),
		Entry("while the pool gets the machines that it asked for", func() { r.Cores = 200 }, door.InTime),
		Entry("a queue whose durations are not known", func() { j.Queue = "new" }, door.Unknown),
		Entry("by an old report", func() { r.At = now.Add(-1100 * time.Millisecond) }, door.NoReport),
	)

	It("accepts without a report", func() {
		v := door.Decide(nil, &j, now)
		Expect(v.Refused()).To(BeFalse())
	})
})
