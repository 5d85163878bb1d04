package slots

import (
	"strconv"
	"time"

	"persimmonbay/internal/shard"
)

// Lenders holds the lenders of the upstreams whose home this entry is, in
// shards by upstream. Each lender is only touched under its shard's lock; its
// term never changes.
type Lenders struct {
	self           Holder
	view           *shard.Cell[*View]
	confirmedUntil *shard.Cell[time.Time]
	terms          func(upstream string) (Terms, bool)
	lenders        *shard.Map[string, *Lender]
	byTerm         *shard.Map[string, string] // upstream by the key of its lender's term
	next           *shard.Cell[uint64]        // number of the next term
}

// NewLenders returns no lenders. terms tells the bounds of an upstream that is
// known. trusted holds until when the store's confirmation of this entry holds;
// without it nothing is lent, nor is anyone vouched for.
func NewLenders(self Holder, view *shard.Cell[*View], trusted *shard.Cell[time.Time], terms func(upstream string) (Terms, bool)) *Lenders {
	return &Lenders{self: self, view: view, confirmedUntil: trusted, terms: terms, lenders: shard.NewMap[string, *Lender](), byTerm: shard.NewMap[string, string](), next: shard.NewCell(self.Incarnation)}
}

// Answer answers the reports of a batch.
func (l *Lenders) Answer(b Batch, now time.Time) []Loan {
	loans := make([]Loan, len(b.Reports))
	for i, item := range b.Reports {
		if item.Upstream == "" {
			item.Upstream, _ = l.byTerm.Get(termKey(item.Term))
		}
		if item.Upstream == "" {
			loans[i] = Loan{TermUnknown: true}
			continue
		}
		loans[i] = l.answer(b, item, now)
	}
	return loans
}

// termKey is the key of a term among the upstreams.
func termKey(term uint64) string { return strconv.FormatUint(term, 36) }

// answer reads the view under the shard's lock, so that no lender lends after
// Drop under a newer view.
func (l *Lenders) answer(b Batch, item Report, now time.Time) Loan {
	loan := Loan{Upstream: item.Upstream}
	terms, known := l.terms(item.Upstream)
	if !known {
		return loan
	}
	l.lenders.Update(item.Upstream, func(lender *Lender, ok bool) (*Lender, bool) {
		view := l.view.Get()
		if view == nil || !now.Before(l.confirmedUntil.Get()) || view.Home(item.Upstream) != l.self.Entry {
			return lender, ok
		}
		if !ok {
			lender = NewLender(item.Upstream, l.term())
			l.byTerm.Set(termKey(lender.term), item.Upstream)
		}
		loan = lender.Report(&b, item, view, terms, now)
		return lender, true
	})
	return loan
}

// term returns a number that no other lender of this or another process has.
func (l *Lenders) term() (term uint64) {
	l.next.Update(func(n uint64) (uint64, bool) { term = mix(n) | 1; return n + 1, true })
	return term
}

// Drop ends the lender of an upstream whose home has moved and returns what
// the new home must know; nil when that is not known.
func (l *Lenders) Drop(upstream string, now time.Time) *Handover {
	lender, ok := l.lenders.Delete(upstream)
	if !ok {
		return nil
	}
	l.byTerm.Delete(termKey(lender.term))
	return lender.Handover(now)
}

// Reset ends all lenders, after a time in which others may have taken over.
func (l *Lenders) Reset() {
	l.lenders.Range(func(upstream string, lender *Lender) bool {
		l.lenders.Delete(upstream)
		l.byTerm.Delete(termKey(lender.term))
		return true
	})
}

// Recalls returns what to ask back, by holder: for any holder that could use
// more or, unless every is set, only where one has nothing.
func (l *Lenders) Recalls(now time.Time, every bool) map[Holder][]Recall {
	recalls := make(map[Holder][]Recall)
	var upstreams []string
	l.lenders.Range(func(upstream string, _ *Lender) bool {
		upstreams = append(upstreams, upstream)
		return true
	})
	for _, u := range upstreams {
		l.lenders.Update(u, func(lender *Lender, ok bool) (*Lender, bool) {
			if ok && (every || lender.starves()) {
				for h, target := range lender.Recalls(now) {
					recalls[h] = append(recalls[h], Recall{Upstream: u, Target: target})
				}
			}
			return lender, ok
		})
	}
	return recalls
}
