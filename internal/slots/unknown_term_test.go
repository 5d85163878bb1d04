package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
)

var _ = Describe("an item that names its upstream by the term alone", func() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	holder := slots.Holder{Entry: "entry-2", Incarnation: 1}
	home := func(incarnation uint64) *slots.Lenders {
		view := &slots.View{Self: "entry-1", Clean: true, Members: []membership.EntryID{"entry-1"}}
		terms := func(upstream string) (slots.Terms, bool) {
			return slots.Terms{Capacity: 8, DrainTimeout: time.Second}, upstream == "tags-1"
		}
		return slots.NewLenders(slots.Holder{Entry: "entry-1", Incarnation: incarnation}, shard.NewCell(view), shard.NewCell(now.Add(time.Hour)), terms)
	}
	var seq uint64
	// report does what a holder and the wire do: it names the upstream only
	// while it knows no term.
	report := func(h *slots.Holding, l *slots.Lenders) (item slots.Report, loan slots.Loan) {
		item, due := h.NextReport("tags-1", 1, 1, true)
		Expect(due).To(BeTrue())
		seq++
		h.ReportSent(seq, true)
		sent := item
		if sent.Term != 0 {
			sent.Upstream = ""
		}
		loan = l.Answer(slots.Batch{From: holder, Clean: true, Seq: seq, Reports: []slots.Report{sent}}, now)[0]
		h.ApplyLoan("entry-1", seq, item, loan, now, false)
		return item, loan
	}

	It("is for the lender of that term, and asks to be told anew where there is none", func() {
		h := &slots.Holding{}
		h.SetHome("entry-1", nil)
		first := home(1)
		_, loan := report(h, first)
		Expect(loan.Home).To(BeTrue())
		item, again := report(h, first)
		Expect(item.Term).To(Equal(loan.Term))
		Expect(again.Home).To(BeTrue())
		Expect(again.Term).To(Equal(loan.Term))

		restarted := home(2) // the holder sees no change of the home
		_, loan = report(h, restarted)
		Expect(loan.TermUnknown).To(BeTrue())
		item, loan = report(h, restarted)
		Expect(item.Term).To(BeZero())
		Expect(loan.Home).To(BeTrue())
	})

	It("is forgotten with the lenders", func() {
		h := &slots.Holding{}
		h.SetHome("entry-1", nil)
		l := home(1)
		report(h, l)
		l.Reset()
		_, loan := report(h, l)
		Expect(loan.TermUnknown).To(BeTrue())
	})
})
