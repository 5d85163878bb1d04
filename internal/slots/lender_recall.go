package slots

import "time"

// recallInterval is the least time between two recalls with the same target.
const recallInterval = time.Second

// Recalls returns the recalls to send, as a target for each holder, if some
// holder could use more slots: to holders above their target, and, while slots
// are free, to holders that should report again to get more. A holder with a
// recent recall to the same target gets none.
func (l *Lender) Recalls(now time.Time) map[Holder]int {
	if !l.settled || !l.wanted() {
		return nil
	}
	recalls, free := make(map[Holder]int), l.lent() < l.capacity
	for h, a := range l.accounts {
		if a.absentSince.IsZero() && (a.held > a.target || free && a.unsatisfied()) && (a.recalledTo != a.target || now.Sub(a.recalledAt) >= recallInterval) {
			recalls[h] = a.target
			a.recalledAt, a.recalledTo = now, a.target
		}
	}
	return recalls
}

// wanted reports whether some present holder could use more slots.
func (l *Lender) wanted() bool {
	for _, a := range l.accounts {
		if a.absentSince.IsZero() && a.unsatisfied() {
			return true
		}
	}
	return false
}

// hasStarved reports whether a holder that could use slots has none.
func (l *Lender) hasStarved() bool {
	for _, a := range l.accounts {
		if a.absentSince.IsZero() && a.held == 0 && a.unsatisfied() {
			return true
		}
	}
	return false
}

// Handover returns the accounts for a successor, or nil when this lender is not
// settled and so does not know all loans itself.
func (l *Lender) Handover(now time.Time) *Handover {
	if !l.settled {
		return nil
	}
	h := &Handover{}
	for holder, a := range l.accounts {
		b := Balance{Holder: holder, Held: a.held}
		if !a.absentSince.IsZero() {
			b.AbsentFor = max(now.Sub(a.absentSince), 1) // zero means present
		}
		h.Accounts = append(h.Accounts, b)
	}
	return h
}
