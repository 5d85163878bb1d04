package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
)

var _ = Describe("a new home while most of the entries are absent", func() {
	const upstream = "tags-1"
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	longAgo := now.Add(-time.Hour)
	// granted returns how many slots the home lends to itself in reply to its second
	// report. By then all members have acknowledged its term.
	granted := func(lastSeen map[membership.EntryID]time.Time, departed map[membership.EntryID]bool) int {
		view := &slots.View{Self: "entry-1", NoPredecessor: true, ProcessAge: time.Hour, Members: []membership.EntryID{"entry-1"}, LastSeen: lastSeen, Departed: departed}
		terms := func(string) (slots.Terms, bool) { return slots.Terms{Capacity: 8, DrainTimeout: time.Second}, true }
		self := slots.Holder{Entry: "entry-1", Incarnation: 1}
		home := slots.NewLenders(self, shard.NewCell(view), shard.NewCell(now.Add(time.Hour)), terms)
		var loan slots.Loan
		for seq := range uint64(2) {
			report := slots.Report{Upstream: upstream, Term: loan.Term, Demand: 8}
			loan = home.Answer(slots.Batch{From: self, NoPredecessor: true, ProcessAge: time.Hour, Seq: seq + 1, Reports: []slots.Report{report}}, now)[0]
		}
		return loan.Granted
	}
	two := map[membership.EntryID]time.Time{"entry-2": longAgo, "entry-3": longAgo}

	It("lends nothing, however long they have been absent", func() {
		Expect(granted(two, nil)).To(BeZero())
	})

	It("lends all slots if one of them announced that it was leaving", func() {
		Expect(granted(two, map[membership.EntryID]bool{"entry-2": true})).To(Equal(8))
	})

	It("lends all slots if only half of the entries are absent", func() {
		Expect(granted(map[membership.EntryID]time.Time{"entry-2": longAgo}, nil)).To(Equal(8))
	})
})
