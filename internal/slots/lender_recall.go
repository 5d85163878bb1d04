package slots

import "time"

// recallAgain is the time between two recalls to the same target.
const recallAgain = time.Second

// Recalls returns the targets of holders that have more, when another could
// use it, and of holders that should ask again now that slots are free, unless
// they were told lately.
func (l *Lender) Recalls(now time.Time) map[Holder]int {
	if !l.settled || !l.wanted() {
		return nil
	}
	recalls, free := make(map[Holder]int), l.lent() < l.capacity
	for h, a := range l.accounts {
		if a.gone.IsZero() && (a.held > a.target || free && a.unsatisfied()) && (a.recalledTo != a.target || now.Sub(a.recalled) >= recallAgain) {
			recalls[h] = a.target
			a.recalled, a.recalledTo = now, a.target
		}
	}
	return recalls
}

func (l *Lender) wanted() bool {
	for _, a := range l.accounts {
		if a.gone.IsZero() && a.unsatisfied() {
			return true
		}
	}
	return false
}

// starves reports whether a holder that could use slots has none.
func (l *Lender) starves() bool {
	for _, a := range l.accounts {
		if a.gone.IsZero() && a.held == 0 && a.unsatisfied() {
			return true
		}
	}
	return false
}

// Handover returns what a successor must know, or nil when this lender does
// not know it itself.
func (l *Lender) Handover(now time.Time) *Handover {
	if !l.settled {
		return nil
	}
	h := &Handover{}
	for holder, a := range l.accounts {
		b := Balance{Holder: holder, Held: a.held}
		if !a.gone.IsZero() {
			b.AbsentFor = max(now.Sub(a.gone), 1)
		}
		h.Accounts = append(h.Accounts, b)
	}
	return h
}
