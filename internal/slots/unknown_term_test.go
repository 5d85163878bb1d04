package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/slots"
)

var _ = Describe("a report that names its upstream by the term alone", func() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	holder := slots.Holder{Entry: "entry-2", Incarnation: 1}
	home := func(incarnation uint64) *slots.Lenders {
		view := &slots.View{Self: "entry-1", NoPredecessor: true, Members: []membership.EntryID{"entry-1"}}
		terms := func(upstream string) (slots.Terms, bool) {
			return slots.Terms{Capacity: 8, DrainTimeout: time.Second}, upstream == "tags-1"
		}
		return slots.NewLenders(slots.Holder{Entry: "entry-1", Incarnation: incarnation}, shard.NewCell(view), shard.NewCell(now.Add(time.Hour)), terms)
	}
	var seq uint64
	// report sends the holder's next report and applies the reply. As on the wire, it
	// names the upstream only while the term is unknown.
	report := func(h *slots.Holding, l *slots.Lenders) (r slots.Report, loan slots.Loan) {
		r, due := h.NextReport("tags-1", 1, 1, true)
		Expect(due).To(BeTrue())
		seq++
		h.ReportSent(seq, true)
		onWire := r
		if onWire.Term != 0 {
			onWire.Upstream = ""
		}
		loan = l.Answer(slots.Batch{From: holder, NoPredecessor: true, Seq: seq, Reports: []slots.Report{onWire}}, now)[0]
		h.ApplyLoan("entry-1", seq, r, loan, now, false)
		return r, loan
	}

	It("is answered by the lender of that term, and with an unknown term where there is none", func() {
		h := &slots.Holding{}
		h.SetHome("entry-1", nil)
		first := home(1)
		_, loan := report(h, first)
		Expect(loan.Home).To(BeTrue())
		r, again := report(h, first)
		Expect(r.Term).To(Equal(loan.Term))
		Expect(again.Home).To(BeTrue())
		Expect(again.Term).To(Equal(loan.Term))

		restarted := home(2) // with the same entry ID, so the holder sees no change of the home
		_, loan = report(h, restarted)
		Expect(loan.TermUnknown).To(BeTrue())
		r, loan = report(h, restarted)
		Expect(r.Term).To(BeZero())
		Expect(loan.Home).To(BeTrue())
	})

	It("is answered with an unknown term after a reset of the lenders", func() {
		h := &slots.Holding{}
		h.SetHome("entry-1", nil)
		l := home(1)
		report(h, l)
		l.Reset()
		_, loan := report(h, l)
		Expect(loan.TermUnknown).To(BeTrue())
	})
})
