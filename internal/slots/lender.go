package slots

import (
	"cmp"
	"slices"
	"time"
)

// Lender lends the slots of one upstream at its home. A new lender first
// settles: until it knows all that its predecessors lent, it lends nothing, and
// holders keep what they have. It is not safe for concurrent use.
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

// Report takes in an item of a batch and answers it.
func (l *Lender) Report(b *Batch, item Report, view *View, terms Terms, now time.Time) Loan {
	from := b.From
	if l.replaced(from) {
		return Loan{Upstream: item.Upstream} // under way since before the entry restarted
	}
	l.retire(from, view, terms, now)
	a := l.account(from)
	if b.Seq <= a.seq {
		return l.answer(item.Upstream, a, 0) // overtaken by a later one
	}
	a.take(b, item, item.Term == l.term, now)
	if a.acked {
		l.inherit(item.Handover, now)
	}
	l.settle(view, terms, now)
	if !l.settled || !a.acked || !view.Has(from.Entry) {
		a.target = a.held
		return l.answer(item.Upstream, a, 0)
	}
	l.capacity = terms.Capacity
	l.divide(terms.Capacity)
	granted := min(max(a.target-a.held, 0), max(terms.Capacity-l.lent(), 0))
	a.held += granted
	return l.answer(item.Upstream, a, granted)
}

func (l *Lender) answer(upstream string, a *account, granted int) Loan {
	return Loan{Upstream: upstream, Home: true, Term: l.term, Granted: granted, Settled: l.settled}
}

func (l *Lender) account(of Holder) *account {
	a, ok := l.accounts[of]
	if !ok {
		a = &account{}
		l.accounts[of] = a
	}
	return a
}

// replaced reports whether a later run of the entry is known.
func (l *Lender) replaced(from Holder) bool {
	for h := range l.accounts {
		if h.Entry == from.Entry && h.Incarnation > from.Incarnation {
			return true
		}
	}
	return false
}

// retire marks holders that went, an earlier run of from among them, and drops
// those whose requests are surely over. What went with most of the entries is
// kept until it comes back.
func (l *Lender) retire(from Holder, view *View, terms Terms, now time.Time) {
	cutOff := view.MostSilent()
	for h, a := range l.accounts {
		replaced := h.Entry == from.Entry && h != from
		if a.gone.IsZero() && (replaced || !view.Has(h.Entry)) {
			a.gone = now
		}
		a.kept = !a.gone.IsZero() && !replaced && (a.kept || cutOff && !view.Has(h.Entry))
		if a.over(now, terms.DrainTimeout) {
			delete(l.accounts, h)
		}
	}
}

// inherit takes over the accounts of the predecessor, which has acknowledged
// this term and lends no more. They are upper bounds of what is held.
func (l *Lender) inherit(handover *Handover, now time.Time) {
	if handover == nil || l.settled {
		return
	}
	for _, b := range handover.Accounts {
		if a, ok := l.accounts[b.Holder]; ok && a.seq > 0 {
			a.held = max(a.held, b.Held)
			continue
		}
		a := &account{held: b.Held, demand: b.Held, heard: now.Add(-b.AbsentFor)}
		if b.AbsentFor > 0 {
			a.gone = now.Add(-b.AbsentFor)
		}
		l.accounts[b.Holder] = a
	}
	l.settled = true
}

// settle decides whether everything lent before is known: every member has
// acknowledged this term, so that it takes nothing from another home, all that
// went are waited out, which most of the entries never are, no entry has an
// earlier run that may still have requests at work, and this home has been
// there for long enough to know who went, or everyone is new.
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
		if a.gone.IsZero() && !a.clean && a.age < terms.DrainTimeout {
			return
		}
		oldest = max(oldest, a.age)
	}
	l.settled = view.ProcessAge >= terms.DrainTimeout || oldest < terms.DrainTimeout
}

func (l *Lender) acknowledged(view *View) bool {
	for _, m := range view.Members {
		found := false
		for h, a := range l.accounts {
			found = found || h.Entry == m && a.acked && a.gone.IsZero()
		}
		if !found {
			return false
		}
	}
	return true
}

// divide sets the targets of the holders that live. What the gone still hold
// is not shared out.
func (l *Lender) divide(capacity int) {
	living := l.living()
	needs, demands := make([]int, len(living)), make([]int, len(living))
	for i, h := range living {
		needs[i], demands[i] = l.accounts[h].need, l.accounts[h].demand
	}
	for _, a := range l.accounts {
		if !a.gone.IsZero() {
			capacity -= a.held
		}
	}
	for i, target := range Divide(max(capacity, 0), needs, demands) {
		l.accounts[living[i]].target = target
	}
}

// living returns the holders that live, in an order that differs from upstream
// to upstream, so that not always the same ones get the remainders.
func (l *Lender) living() []Holder {
	living := make([]Holder, 0, len(l.accounts))
	for h, a := range l.accounts {
		if a.gone.IsZero() {
			living = append(living, h)
		}
	}
	slices.SortFunc(living, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(weight(l.upstream, a.Entry), weight(l.upstream, b.Entry)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return living
}

func (l *Lender) lent() int {
	sum := 0
	for _, a := range l.accounts {
		sum += a.held
	}
	return sum
}
