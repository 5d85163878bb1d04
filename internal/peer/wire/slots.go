package wire

import (
	"cmp"
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// FromSlotBatch converts a plain batch to its message.
func FromSlotBatch(b slots.Batch) *SlotBatch {
	m := &SlotBatch{Incarnation: b.From.Incarnation, AgeMillis: uint64(b.ProcessAge.Milliseconds()), Clean: b.Clean, Seq: b.Seq}
	for _, i := range b.Reports {
		m.Items = append(m.Items, fromSlotItem(i))
	}
	for _, r := range b.Recalls {
		m.Recalls = append(m.Recalls, &SlotRecall{Upstream: r.Upstream, Target: uint32(r.Target)})
	}
	return m
}

// fromSlotItem leaves out the upstream where the home knows it by the term.
func fromSlotItem(i slots.Report) *SlotItem {
	m := &SlotItem{Term: i.Term, Held: uint32(i.Held), Need: uint32(i.Need), Demand: uint32(i.Demand), Handover: fromHandover(i.Handover)}
	if i.Term == 0 {
		m.Upstream = i.Upstream
	}
	return m
}

// ToSlotBatch converts the message that the entry called from sent.
func ToSlotBatch(from string, m *SlotBatch) slots.Batch {
	b := slots.Batch{
		From:       slots.Holder{Entry: membership.EntryID(from), Incarnation: m.GetIncarnation()},
		ProcessAge: time.Duration(m.GetAgeMillis()) * time.Millisecond,
		Clean:      m.GetClean(),
		Seq:        m.GetSeq(),
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

// goneMillis keeps a holder that has just gone apart from one that lives.
func goneMillis(gone time.Duration) uint64 {
	if gone <= 0 {
		return 0
	}
	return uint64(max(gone.Milliseconds(), 1))
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

// FromSlotLoans converts loans to the message that answers these items.
func FromSlotLoans(items []slots.Report, loans []slots.Loan) *SlotLoans {
	m := &SlotLoans{Loans: make([]*SlotLoan, len(loans))}
	for i, l := range loans {
		m.Loans[i] = fromSlotLoan(items[i], l)
	}
	return m
}

func fromSlotLoan(item slots.Report, l slots.Loan) *SlotLoan {
	if !l.Home {
		return &SlotLoan{Away: true, Unknown: l.TermUnknown}
	}
	m := &SlotLoan{Granted: uint32(l.Granted), Unsettled: !l.Settled}
	if l.Term != item.Term {
		m.Term = l.Term
	}
	return m
}

// ToSlotLoans converts the answer to a batch with these items. It returns nil
// when it does not answer all of them.
func ToSlotLoans(items []slots.Report, m *SlotLoans) []slots.Loan {
	if len(m.GetLoans()) != len(items) {
		return nil
	}
	loans := make([]slots.Loan, len(items))
	for i, l := range m.GetLoans() {
		loans[i] = toSlotLoan(items[i], l)
	}
	return loans
}

func toSlotLoan(item slots.Report, m *SlotLoan) slots.Loan {
	if m.GetAway() {
		return slots.Loan{Upstream: item.Upstream, TermUnknown: m.GetUnknown()}
	}
	return slots.Loan{Upstream: item.Upstream, Home: true, Term: cmp.Or(m.GetTerm(), item.Term), Granted: int(m.GetGranted()), Settled: !m.GetUnsettled()}
}
