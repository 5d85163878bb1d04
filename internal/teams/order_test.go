package teams_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/door"
	"persimmonbay/internal/teams"
)

var now = time.Unix(1_700_000_000, 0)

var _ = Describe("the order of teams", func() {
	var o *teams.Order
	BeforeEach(func() {
		o = teams.NewOrder()
		o.SetShares(map[string]teams.Share{"huts": {Weight: 2}, "agencies": {Weight: 1, Priority: 3}, "none": {}})
	})

	// Load: a team at four times its weight for twenty seconds.
	It("lets no more jobs be within a team's weight in any window than the weight allows", func() {
		var within []time.Time
		for i := range 160 {
			at := now.Add(time.Duration(i) * 125 * time.Millisecond)
			if o.Account("huts").Accept(1, at) {
				within = append(within, at)
			}
		}
		Expect(within).To(HaveLen(40))
		for i := 10; i < len(within); i++ {
			Expect(within[i].Sub(within[i-10])).To(BeNumerically(">=", teams.Window))
		}
	})

	It("recomputes the places after a take-over, in whatever order the jobs are read", func() {
		for i := range 10 {
			Expect(o.Account("huts").Accept(1, now.Add(time.Duration(9-i)*time.Second/10))).To(BeTrue())
		}
		Expect(o.Account("huts").Accept(1, now.Add(time.Second))).To(BeFalse())
		Expect(o.Spent(now.Add(time.Second))).To(Equal(map[string]time.Duration{"huts": teams.Window - time.Second}))
		Expect(o.Spent(now.Add(teams.Window))).To(BeEmpty())
	})

	It("puts nothing beyond that has no team, or whose team is not configured", func() {
		for range 100 {
			Expect(o.Account("").Accept(1, now)).To(BeTrue())
			Expect(o.Account("removed").Accept(1, now)).To(BeTrue())
		}
		Expect(o.Counts()).To(HaveLen(3))
	})

	It("puts all jobs of a team of weight 0 beyond, and above its share while work waits", func() {
		Expect(o.Spent(now)).To(BeEmpty(), "it has sent nothing")
		for range 100 {
			Expect(o.Account("none").Accept(1, now)).To(BeFalse())
		}
		Expect(o.Spent(now.Add(time.Hour))).To(HaveKeyWithValue("none", BeNumerically(">", door.MaxAge)))
		o.Account("none").Give(8, now)
		o.Account("huts").Give(1, now)
		o.Update(5, now)
		Expect(o.Account("none").Excess()).To(BeZero())
		o.Account("huts").Wait(1)
		o.Update(5, now)
		Expect(o.Account("none").Excess()).To(BeNumerically(">", 4))
		Expect(o.Account("huts").Excess()).To(BeZero())
		o.SetShares(map[string]teams.Share{"none": {Weight: 1}})
		Expect(o.Account("none").Accept(1, now)).To(BeTrue())
	})

	It("puts a team that was given more than its share after others only while work waits", func() {
		o.Account("huts").Give(2, now)
		o.Account("agencies").Give(8, now)
		o.Update(5, now)
		Expect(o.Account("agencies").Excess()).To(BeZero())
		o.Account("huts").Wait(10)
		o.Account("agencies").Wait(10)
		o.Update(5, now)
		Expect(o.Account("agencies").Excess()).To(Equal(2), "between two and four times a third of the work")
		Expect(o.Account("huts").Excess()).To(BeZero())
		o.Update(5, now)
		Expect(o.Account("agencies").Excess()).To(BeZero())
	})

	It("lets a team have what the others do not ask for", func() {
		o.Account("huts").Give(1, now)
		o.Account("agencies").Give(9, now)
		o.Account("agencies").Wait(10)
		o.Update(5, now)
		Expect(o.Account("agencies").Excess()).To(BeZero())
	})

	It("counts a bounded number of teams", func() {
		shares := map[string]teams.Share{}
		for i := range 1000 {
			shares[fmt.Sprint(i)] = teams.Share{Weight: 1}
		}
		o.SetShares(shares)
		o.Account("7").Accept(1, now)
		o.Account("7").Give(3, now)
		Expect(len(o.Counts())).To(BeNumerically("<=", 33))
		Expect(o.Counts()["7"]).To(Equal(teams.Counts{Within: 1, Given: 3}))
	})
})
