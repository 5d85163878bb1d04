package slots

import (
	"strconv"
	"time"

	"persimmonbay/internal/shard"
)

// Lenders holds the lenders of the upstreams whose home this entry is, in
// shards by upstream. A lender is accessed only under its shard's lock, except
// for its term, which never changes.
type Lenders struct {
	self           Holder
	view           *shard.Cell[*View]
	confirmedUntil *shard.Cell[time.Time]
	terms          func(upstream string) (Terms, bool)
	lenders        *shard.Map[string, *Lender]
	byTerm         *shard.Map[string, string] // upstream by termKey of its lender's term
	next           *shard.Cell[uint64]        // hashed to give the next term
}

// NewLenders returns an empty set of lenders. terms returns the bounds of an
// upstream, and false for an unknown one. confirmedUntil is the time at which the
// store's confirmation of this entry's registration expires. After it, reports
// are neither acknowledged nor answered with slots.
func NewLenders(self Holder, view *shard.Cell[*View], confirmedUntil *shard.Cell[time.Time], terms func(upstream string) (Terms, bool)) *Lenders {
	return &Lenders{self: self, view: view, confirmedUntil: confirmedUntil, terms: terms, lenders: shard.NewMap[string, *Lender](), byTerm: shard.NewMap[string, string](), next: shard.NewCell(self.Incarnation)}
}

// Answer applies the reports of a batch and returns one loan for each, in order.
func (l *Lenders) Answer(b Batch, now time.Time) []Loan {
	loans := make([]Loan, len(b.Reports))
	for i, report := range b.Reports {
		if report.Upstream == "" {
			report.Upstream, _ = l.byTerm.Get(termKey(report.Term))
		}
		if report.Upstream == "" {
			loans[i] = Loan{TermUnknown: true}
			continue
		}
		loans[i] = l.answer(b, report, now)
	}
	return loans
}

// termKey is the key of a term in byTerm.
func termKey(term uint64) string { return strconv.FormatUint(term, 36) }

// answer applies one report. It reads the view under the shard's lock, so that no
// lender lends after Drop was called under a newer view.
func (l *Lenders) answer(b Batch, report Report, now time.Time) Loan {
	loan := Loan{Upstream: report.Upstream}
	terms, known := l.terms(report.Upstream)
	if !known {
		return loan
	}
	l.lenders.Update(report.Upstream, func(lender *Lender, ok bool) (*Lender, bool) {
		view := l.view.Get()
		if view == nil || !now.Before(l.confirmedUntil.Get()) || view.Home(report.Upstream) != l.self.Entry {
			return lender, ok
		}
		if !ok {
			lender = NewLender(report.Upstream, l.term())
			l.byTerm.Set(termKey(lender.term), report.Upstream)
		}
		loan = lender.Report(&b, report, view, terms, now)
		return lender, true
	})
	return loan
}

// term returns a term that no other lender of this or another process has. It is
// never 0, which stands for an unknown term.
func (l *Lenders) term() (term uint64) {
	l.next.Update(func(n uint64) (uint64, bool) { term = mix(n) | 1; return n + 1, true })
	return term
}

// Drop removes the lender of an upstream whose home has moved. It returns the
// handover for the new home, or nil when there is no settled lender.
func (l *Lenders) Drop(upstream string, now time.Time) *Handover {
	lender, ok := l.lenders.Delete(upstream)
	if !ok {
		return nil
	}
	l.byTerm.Delete(termKey(lender.term))
	return lender.Handover(now)
}

// Reset removes all lenders, after a time in which other entries may have become
// home.
func (l *Lenders) Reset() {
	l.lenders.Range(func(upstream string, lender *Lender) bool {
		l.lenders.Delete(upstream)
		l.byTerm.Delete(termKey(lender.term))
		return true
	})
}

// Recalls returns the recalls to send, by holder: those of all upstreams if every
// is set, else only of upstreams where a holder that could use slots has none.
func (l *Lenders) Recalls(now time.Time, every bool) map[Holder][]Recall {
	recalls := make(map[Holder][]Recall)
	var upstreams []string
	l.lenders.Range(func(upstream string, _ *Lender) bool {
		upstreams = append(upstreams, upstream)
		return true
	})
	for _, u := range upstreams {
		l.lenders.Update(u, func(lender *Lender, ok bool) (*Lender, bool) {
			if ok && (every || lender.hasStarved()) {
				for h, target := range lender.Recalls(now) {
					recalls[h] = append(recalls[h], Recall{Upstream: u, Target: target})
				}
			}
			return lender, ok
		})
	}
	return recalls
}
