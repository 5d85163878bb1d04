package slots

import (
	"cmp"
	"slices"
	"time"
)

// Lender lends the slots of one upstream at its home. A new lender is unsettled:
// until it knows all loans of its predecessors, it lends nothing, and holders
// keep what they have. It is not safe for concurrent use.
type Lender struct {
	upstream string
	term     uint64
	settled  bool
	capacity int // slots of the upstream
	accounts map[Holder]*account
}

// NewLender returns an unsettled lender.
func NewLender(upstream string, term uint64) *Lender {
	return &Lender{upstream: upstream, term: term, accounts: make(map[Holder]*account)}
}

// Report applies a report from a batch and returns the reply.
func (l *Lender) Report(b *Batch, report Report, view *View, terms Terms, now time.Time) Loan {
	from := b.From
	if l.replaced(from) {
		return Loan{Upstream: report.Upstream} // sent before the entry restarted
	}
	l.markAbsent(from, view, terms, now)
	a := l.account(from)
	if b.Seq <= a.seq {
		return l.answer(report.Upstream, a, 0) // this batch or a later one was applied already
	}
	a.applyReport(b, report, report.Term == l.term, now)
	if a.acked {
		l.applyHandover(report.Handover, now)
	}
	l.settle(view, terms, now)
	if !l.settled || !a.acked || !view.Has(from.Entry) {
		a.target = a.held
		return l.answer(report.Upstream, a, 0)
	}
	l.capacity = terms.Capacity
	l.divide(terms.Capacity)
	granted := min(max(a.target-a.held, 0), max(terms.Capacity-l.lent(), 0))
	a.held += granted
	return l.answer(report.Upstream, a, granted)
}

// answer returns the reply to a report of the holder with the account a.
func (l *Lender) answer(upstream string, a *account, granted int) Loan {
	return Loan{Upstream: upstream, Home: true, Term: l.term, Granted: granted, Settled: l.settled}
}

// account returns the account of a holder, created on first use.
func (l *Lender) account(of Holder) *account {
	a, ok := l.accounts[of]
	if !ok {
		a = &account{}
		l.accounts[of] = a
	}
	return a
}

// replaced reports whether a later incarnation of the holder's entry is known.
func (l *Lender) replaced(from Holder) bool {
	for h := range l.accounts {
		if h.Entry == from.Entry && h.Incarnation > from.Incarnation {
			return true
		}
	}
	return false
}

// markAbsent marks holders that are no members any more, and earlier incarnations
// of from's entry, as absent, and deletes the accounts of drained ones. Accounts
// of holders that became absent together with most entries are retained until the
// holders report again or restart.
func (l *Lender) markAbsent(from Holder, view *View, terms Terms, now time.Time) {
	mostSilent := view.MostSilent()
	for h, a := range l.accounts {
		replaced := h.Entry == from.Entry && h != from
		if a.absentSince.IsZero() && (replaced || !view.Has(h.Entry)) {
			a.absentSince = now
		}
		a.retained = !a.absentSince.IsZero() && !replaced && (a.retained || mostSilent && !view.Has(h.Entry))
		if a.drained(now, terms.DrainTimeout) {
			delete(l.accounts, h)
		}
	}
}

// applyHandover adopts the accounts of the predecessor, which has acknowledged
// this term and lends no more. They are upper bounds of what is held.
func (l *Lender) applyHandover(handover *Handover, now time.Time) {
	if handover == nil || l.settled {
		return
	}
	for _, b := range handover.Accounts {
		if a, ok := l.accounts[b.Holder]; ok && a.seq > 0 {
			a.held = max(a.held, b.Held)
			continue
		}
		a := &account{held: b.Held, demand: b.Held, reportedAt: now.Add(-b.AbsentFor)}
		if b.AbsentFor > 0 {
			a.absentSince = now.Add(-b.AbsentFor)
		}
		l.accounts[b.Holder] = a
	}
	l.settled = true
}

// settle marks the lender as settled once it knows all earlier loans. That needs:
//   - every member has acknowledged this term, so none accepts slots from another
//     home;
//   - the drain timeout has passed for all absent entries, and these are not most
//     of the entries, since those may be cut off and go on using their slots;
//   - no entry has an earlier process that may still have requests in flight;
//   - this process has run for the drain timeout, so it knows of every entry that
//     became absent, or all processes are younger than that.
func (l *Lender) settle(view *View, terms Terms, now time.Time) {
	if l.settled || view.MostSilent() || !l.acknowledged(view) {
		return
	}
	for _, last := range view.LastSeen {
		if now.Sub(last) < terms.DrainTimeout {
			return
		}
	}
	oldest := view.ProcessAge
	for _, a := range l.accounts {
		if a.absentSince.IsZero() && !a.noPredecessor && a.age < terms.DrainTimeout {
			return
		}
		oldest = max(oldest, a.age)
	}
	l.settled = view.ProcessAge >= terms.DrainTimeout || oldest < terms.DrainTimeout
}

// acknowledged reports whether every member has acknowledged this term.
func (l *Lender) acknowledged(view *View) bool {
	for _, m := range view.Members {
		found := false
		for h, a := range l.accounts {
			found = found || h.Entry == m && a.acked && a.absentSince.IsZero()
		}
		if !found {
			return false
		}
	}
	return true
}

// divide sets the targets of the present holders. Slots that absent holders still
// hold are not divided.
func (l *Lender) divide(capacity int) {
	present := l.present()
	needs, demands := make([]int, len(present)), make([]int, len(present))
	for i, h := range present {
		needs[i], demands[i] = l.accounts[h].need, l.accounts[h].demand
	}
	for _, a := range l.accounts {
		if !a.absentSince.IsZero() {
			capacity -= a.held
		}
	}
	for i, target := range Divide(max(capacity, 0), needs, demands) {
		l.accounts[present[i]].target = target
	}
}

// present returns the present holders, in an order that differs from upstream to
// upstream, so that the same holders do not always get the remainders.
func (l *Lender) present() []Holder {
	present := make([]Holder, 0, len(l.accounts))
	for h, a := range l.accounts {
		if a.absentSince.IsZero() {
			present = append(present, h)
		}
	}
	slices.SortFunc(present, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(weight(l.upstream, a.Entry), weight(l.upstream, b.Entry)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return present
}

// lent returns the number of slots that count as held.
func (l *Lender) lent() int {
	sum := 0
	for _, a := range l.accounts {
		sum += a.held
	}
	return sum
}
