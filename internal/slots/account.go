package slots

import "time"

// account is what a lender knows about one holder.
type account struct {
	held          int
	need          int
	demand        int
	target        int
	seq           uint64        // of the latest applied batch
	acked         bool          // the holder knows this lender's term
	age           time.Duration // of the holder's process, at its latest report
	noPredecessor bool          // no earlier process of its entry can have requests in flight
	reportedAt    time.Time     // when the latest report was received
	absentSince   time.Time     // since when the holder is absent; zero while it is present
	retained      bool          // it became absent together with most entries, so it may still use its slots
	recalledAt    time.Time     // when the latest recall was sent
	recalledTo    int           // target in that recall
}

// applyReport updates the account from a report. A report without this lender's
// term may have been delayed for long, so it never lowers held.
func (a *account) applyReport(b *Batch, report Report, acked bool, now time.Time) {
	if !acked {
		a.held = max(a.held, report.Held)
	} else {
		a.held = report.Held
	}
	a.seq, a.need, a.demand = b.Seq, report.Need, report.Demand
	a.age, a.noPredecessor, a.acked = b.ProcessAge, b.NoPredecessor, acked
	a.reportedAt, a.absentSince, a.retained = now, time.Time{}, false
}

// unsatisfied reports whether the holder has fewer slots than both its target
// and the number that it could use.
func (a *account) unsatisfied() bool { return a.held < min(max(a.need, a.demand), a.target) }

// drained reports whether the holder has been absent for so long that none of
// its requests can still be in flight. Even without
// the store it may have started requests until AckValidity after its latest report.
func (a *account) drained(now time.Time, drainTimeout time.Duration) bool {
	return !a.absentSince.IsZero() && !a.retained && now.Sub(a.absentSince) >= drainTimeout && now.Sub(a.reportedAt) >= drainTimeout+AckValidity
}

// AckValidity is how long after an acknowledged report a holder may use its
// slots while the store does not confirm its registration.
const AckValidity = 3 * time.Second
