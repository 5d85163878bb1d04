package slots_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
)

var _ = Describe("a home cut off from most of the entries", func() {
	It("lends none of the slots that they hold, since they may mistake the partition for an outage of the store", func() {
		const entries, near, capacity = 7, 3, 8
		now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
		var members []membership.EntryID
		for i := range entries {
			members = append(members, membership.EntryID(fmt.Sprintf("entry-%d", i+1)))
		}
		upstream := "tags-0"
		for i := 0; slots.Home(upstream, members) != members[0] || slots.Home(upstream, members[:near]) != members[0]; i++ {
			upstream = fmt.Sprintf("tags-%d", i)
		}
		view := shard.NewCell(&slots.View{Self: members[0], NoPredecessor: true, Members: members})
		terms := func(string) (slots.Terms, bool) {
			return slots.Terms{Capacity: capacity, DrainTimeout: time.Second}, true
		}
		home := slots.NewLenders(slots.Holder{Entry: members[0], Incarnation: 1}, view, shard.NewCell(now.Add(24*time.Hour)), terms)
		var seq, term uint64
		held := make(map[membership.EntryID]int)
		report := func(entry membership.EntryID) {
			seq++
			r := slots.Report{Upstream: upstream, Term: term, Held: held[entry], Demand: capacity}
			loan := home.Answer(slots.Batch{From: slots.Holder{Entry: entry, Incarnation: 1}, NoPredecessor: true, Seq: seq, Reports: []slots.Report{r}}, now)[0]
			term, held[entry] = loan.Term, held[entry]+loan.Granted
		}
		for range 3 {
			for _, m := range members {
				report(m)
			}
		}
		lastSeen, farHeld := make(map[membership.EntryID]time.Time), 0
		for _, m := range members[near:] {
			lastSeen[m] = now
			farHeld += held[m]
		}
		Expect(farHeld).To(BeNumerically(">", 0))

		now = now.Add(time.Minute)
		view.Update(func(*slots.View) (*slots.View, bool) {
			return &slots.View{Self: members[0], NoPredecessor: true, ProcessAge: time.Minute, Members: members[:near], LastSeen: lastSeen}, true
		})
		sum := farHeld
		for range 2 {
			now = now.Add(time.Minute)
			for _, m := range members[:near] {
				report(m)
			}
		}
		for _, m := range members[:near] {
			sum += held[m]
		}
		Expect(sum).To(BeNumerically("<=", capacity))
	})
})
