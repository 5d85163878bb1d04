package slots

import (
	"time"

	"persimmonbay/internal/membership"
)

// Holding is the slots of one upstream that are lent to one entry. It is not
// safe for concurrent use.
type Holding struct {
	Held        int  // lent by the home
	InUse       int  // by requests, including those whose end was not observed
	Target      int  // set by the home; idle slots above it are returned
	reportAgain bool // a recall showed that another report may yield more slots
	peak        int  // most slots in use since the latest routine report

	home       membership.EntryID
	term       uint64    // the home's term; 0: not known
	settled    bool      // the home replied that it knows all earlier loans
	reported   Report    // latest report that the home acknowledged, with Held as of its reply
	ackedAt    time.Time // when the latest acknowledged report was sent
	pendingSeq uint64    // sequence number of the report in flight; 0: none
	handover   *Handover // from this entry's own lender, until the new home has it
}

// Free returns the number of idle slots: that many requests may start now.
func (h *Holding) Free() int { return h.Held - h.InUse }

// Acquire marks one slot as used.
func (h *Holding) Acquire() {
	h.InUse++
	h.peak = max(h.peak, h.InUse)
}

// Release frees one slot, and returns it to the home if more are held than Target.
func (h *Holding) Release() {
	h.InUse--
	h.shrink()
}

// Recall applies a recall from the home. Only a settled home sends recalls, so a
// holder to which its home is not known as settled reports again instead, and so
// does one that holds less than target.
func (h *Holding) Recall(from membership.EntryID, target int) {
	if from != h.home {
		return
	}
	if target > h.Held || !h.settled {
		h.reportAgain = true
		return
	}
	h.Target = target
	h.shrink()
}

// shrink returns idle slots above Target to the home.
func (h *Holding) shrink() { h.Held = max(h.InUse, min(h.Held, h.Target)) }

// ReturnIdle returns all idle slots now, and each other slot when it is released.
func (h *Holding) ReturnIdle() {
	h.Target = 0
	h.shrink()
}

// SetHome sets the home to report to. Replies from a former home no longer
// count. handover comes from this entry's own lender if it was the home before.
func (h *Holding) SetHome(home membership.EntryID, handover *Handover) {
	if h.home == home {
		return
	}
	h.home, h.term, h.settled, h.pendingSeq, h.reported = home, 0, false, 0, Report{}
	h.Target = h.Held // unchanged until the new home knows it
	h.handover = handover
}

// Home returns the home that was set last.
func (h *Holding) Home() membership.EntryID { return h.home }

// Acked returns when the latest report that another entry acknowledged was sent.
func (h *Holding) Acked() time.Time { return h.ackedAt }

// NextReport returns the next report, and whether it is due: not while another
// is in flight, nor while it states nothing that the home must know now. need is
// how many slots work within its guaranteed share could use, wanted how many more
// slots could be used now. Rising needs and demands are reported at once, falling
// ones only in routine reports.
func (h *Holding) NextReport(upstream string, need, wanted int, routine bool) (Report, bool) {
	report := Report{Upstream: upstream, Term: h.term, Held: h.Held, Need: need, Demand: max(h.peak, h.InUse+wanted), Handover: h.handover}
	switch {
	case h.pendingSeq != 0:
		return report, false
	case h.unknownToHome(), h.Held < h.reported.Held, !h.settled && (routine || h.reportAgain):
		return report, true
	case report.Demand > h.Held && (h.reportAgain || report.Demand > h.reported.Demand || need > max(h.Held, h.reported.Need)):
		return report, true
	case routine && (need != h.reported.Need || report.Demand != h.reported.Demand || report.Demand > h.Held):
		return report, true
	}
	return report, false
}

// ReportUrgent reports whether work may be blocked until the home gets a report:
// the home does not know this holder, or waiting work has no slot.
func (h *Holding) ReportUrgent(wanted int) bool {
	return h.unknownToHome() || !h.settled && h.reportAgain || h.Held == 0 && wanted > 0
}

// unknownToHome reports whether the home has not yet acknowledged a report with
// its current term.
func (h *Holding) unknownToHome() bool { return h.term == 0 || h.reported.Term != h.term }

// ReportSent records that a report is in flight. A routine report resets the peak.
func (h *Holding) ReportSent(seq uint64, routine bool) {
	h.pendingSeq, h.reportAgain = seq, false
	if routine {
		h.peak = h.InUse
	}
}

// ReportLost records that no reply to the report is expected any more.
func (h *Holding) ReportLost(seq uint64) {
	if h.pendingSeq == seq {
		h.pendingSeq = 0
	}
}

// ApplyLoan applies the home's reply to the report with the number seq, sent at
// sent. It ignores a reply from a former home or to a report that was given up.
// own states that the home is this entry; such an acknowledgement does not move
// Acked, since it does not show that any other entry knows this one.
func (h *Holding) ApplyLoan(from membership.EntryID, seq uint64, report Report, loan Loan, sent time.Time, own bool) {
	if from != h.home || h.pendingSeq != seq {
		return
	}
	h.pendingSeq = 0
	if loan.TermUnknown {
		h.term = 0 // the next report names the upstream
	}
	if !loan.Home {
		return
	}
	if report.Term == loan.Term {
		h.handover, h.settled = nil, loan.Settled
	}
	h.term, h.reported = loan.Term, report
	if !own {
		h.ackedAt = sent
	}
	h.reported.Held += loan.Granted
	h.Held += loan.Granted
	h.Target = h.Held
}
