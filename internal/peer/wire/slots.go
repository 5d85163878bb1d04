package wire

import (
	"cmp"
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// FromSlotBatch converts a batch to its message.
func FromSlotBatch(b slots.Batch) *SlotBatch {
	m := &SlotBatch{Incarnation: b.From.Incarnation, AgeMillis: uint64(b.ProcessAge.Milliseconds()), Clean: b.NoPredecessor, Seq: b.Seq}
	for _, r := range b.Reports {
		m.Items = append(m.Items, fromSlotItem(r))
	}
	for _, r := range b.Recalls {
		m.Recalls = append(m.Recalls, &SlotRecall{Upstream: r.Upstream, Target: uint32(r.Target)})
	}
	return m
}

// fromSlotItem converts a report to its message. It omits the upstream if the
// report has a term, by which the home identifies the upstream.
func fromSlotItem(r slots.Report) *SlotItem {
	m := &SlotItem{Term: r.Term, Held: uint32(r.Held), Need: uint32(r.Need), Demand: uint32(r.Demand), Handover: fromHandover(r.Handover)}
	if r.Term == 0 {
		m.Upstream = r.Upstream
	}
	return m
}

// ToSlotBatch converts a message that the entry with ID from sent.
func ToSlotBatch(from string, m *SlotBatch) slots.Batch {
	b := slots.Batch{
		From:          slots.Holder{Entry: membership.EntryID(from), Incarnation: m.GetIncarnation()},
		ProcessAge:    time.Duration(m.GetAgeMillis()) * time.Millisecond,
		NoPredecessor: m.GetClean(),
		Seq:           m.GetSeq(),
	}
	for _, i := range m.GetItems() {
		b.Reports = append(b.Reports, slots.Report{Upstream: i.GetUpstream(), Term: i.GetTerm(), Held: int(i.GetHeld()), Need: int(i.GetNeed()), Demand: int(i.GetDemand()), Handover: toHandover(i.GetHandover())})
	}
	for _, r := range m.GetRecalls() {
		b.Recalls = append(b.Recalls, slots.Recall{Upstream: r.GetUpstream(), Target: int(r.GetTarget())})
	}
	return b
}

func fromHandover(h *slots.Handover) *SlotHandover {
	if h == nil {
		return nil
	}
	m := &SlotHandover{}
	for _, b := range h.Accounts {
		m.Accounts = append(m.Accounts, &SlotBalance{Entry: string(b.Holder.Entry), Incarnation: b.Holder.Incarnation, Held: uint32(b.Held), GoneMillis: goneMillis(b.AbsentFor)})
	}
	return m
}

// goneMillis converts the time for which a holder has been absent. It returns 0
// only for a holder that is present, and at least 1 for an absent one.
func goneMillis(absentFor time.Duration) uint64 {
	if absentFor <= 0 {
		return 0
	}
	return uint64(max(absentFor.Milliseconds(), 1))
}

func toHandover(m *SlotHandover) *slots.Handover {
	if m == nil {
		return nil
	}
	h := &slots.Handover{}
	for _, b := range m.GetAccounts() {
		h.Accounts = append(h.Accounts, slots.Balance{
			Holder:    slots.Holder{Entry: membership.EntryID(b.GetEntry()), Incarnation: b.GetIncarnation()},
			Held:      int(b.GetHeld()),
			AbsentFor: time.Duration(b.GetGoneMillis()) * time.Millisecond,
		})
	}
	return h
}

// FromSlotLoans converts the loans that answer reports, in the same order, to
// their message.
func FromSlotLoans(reports []slots.Report, loans []slots.Loan) *SlotLoans {
	m := &SlotLoans{Loans: make([]*SlotLoan, len(loans))}
	for i, l := range loans {
		m.Loans[i] = fromSlotLoan(reports[i], l)
	}
	return m
}

// fromSlotLoan converts the loan that answers report. It omits the term if it is
// the report's.
func fromSlotLoan(report slots.Report, l slots.Loan) *SlotLoan {
	if !l.Home {
		return &SlotLoan{Away: true, Unknown: l.TermUnknown}
	}
	m := &SlotLoan{Granted: uint32(l.Granted), Unsettled: !l.Settled}
	if l.Term != report.Term {
		m.Term = l.Term
	}
	return m
}

// ToSlotLoans converts the answer to a batch with these reports to loans in the
// same order. It returns nil if the answer has another number of loans.
func ToSlotLoans(reports []slots.Report, m *SlotLoans) []slots.Loan {
	if len(m.GetLoans()) != len(reports) {
		return nil
	}
	loans := make([]slots.Loan, len(reports))
	for i, l := range m.GetLoans() {
		loans[i] = toSlotLoan(reports[i], l)
	}
	return loans
}

func toSlotLoan(report slots.Report, m *SlotLoan) slots.Loan {
	if m.GetAway() {
		return slots.Loan{Upstream: report.Upstream, TermUnknown: m.GetUnknown()}
	}
	return slots.Loan{Upstream: report.Upstream, Home: true, Term: cmp.Or(m.GetTerm(), report.Term), Granted: int(m.GetGranted()), Settled: !m.GetUnsettled()}
}
