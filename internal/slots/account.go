package slots

import "time"

// account is what a lender knows of one holder.
type account struct {
	held       int
	need       int
	demand     int
	target     int
	seq        uint64
	acked      bool          // the holder knows this lender's term
	age        time.Duration // of the holder's process, at its latest report
	clean      bool          // it has no earlier run that may still have requests at work
	heard      time.Time
	gone       time.Time // zero while the holder lives
	kept       bool      // it went with most of the entries, so it may still use what it holds
	recalled   time.Time // when idle slots were last asked back
	recalledTo int
}

// take takes in a report. One that does not know this lender's term may have
// been under way for long, so it never lowers what counts as held.
func (a *account) take(b *Batch, item Report, acked bool, now time.Time) {
	if !acked {
		a.held = max(a.held, item.Held)
	} else {
		a.held = item.Held
	}
	a.seq, a.need, a.demand = b.Seq, item.Need, item.Demand
	a.age, a.clean, a.acked = b.ProcessAge, b.Clean, acked
	a.heard, a.gone, a.kept = now, time.Time{}, false
}

// unsatisfied reports whether the holder could use more than it has, within
// its target.
func (a *account) unsatisfied() bool { return a.held < min(max(a.need, a.demand), a.target) }

// over reports whether all requests of a holder that went are surely over.
func (a *account) over(now time.Time, waitOut time.Duration) bool {
	return !a.gone.IsZero() && !a.kept && now.Sub(a.gone) >= waitOut && now.Sub(a.heard) >= waitOut+AckValidity
}

// AckValidity is how long a home's acknowledgement lets a holder use its slots
// when the store does not confirm its registration.
const AckValidity = 3 * time.Second
