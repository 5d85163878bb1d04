package slots

import (
	"time"

	"persimmonbay/internal/membership"
)

// Holding is what one entry holds of one upstream's slots. It is not safe for
// concurrent use.
type Holding struct {
	Held   int  // lent by the home
	InUse  int  // by requests, those among them whose end nobody has seen
	Target int  // of the home; idle slots above it are handed back
	again  bool // the home has free slots to ask for
	peak   int  // most in use and wanted since the latest report

	home     membership.EntryID
	term     uint64
	settled  bool
	reported Report    // as the home acknowledged it
	acked    time.Time // when the latest acknowledged report was sent
	pending  uint64    // sequence number of the report under way; 0: none
	handover *Handover // of this entry's own lender, until the new home has it
}

// Free returns how many requests may start now.
func (h *Holding) Free() int { return h.Held - h.InUse }

// Take puts one slot to use.
func (h *Holding) Take() {
	h.InUse++
	h.peak = max(h.peak, h.InUse)
}

// Release frees one slot, and hands it back when the home has asked for it.
func (h *Holding) Release() {
	h.InUse--
	h.shrink()
}

// Recall takes over a target of the home. Only a settled home sends one, so a
// holder that does not know its home for settled asks it again instead.
func (h *Holding) Recall(from membership.EntryID, target int) {
	if from != h.home {
		return
	}
	if target > h.Held || !h.settled {
		h.again = true
		return
	}
	h.Target = target
	h.shrink()
}

func (h *Holding) shrink() { h.Held = max(h.InUse, min(h.Held, h.Target)) }

// ReturnIdle hands back what is idle, and the rest as it is released.
func (h *Holding) ReturnIdle() {
	h.Target = 0
	h.shrink()
}

// SetHome binds the holding to a home. Reports under way to another one no longer
// count. handover is what this entry's own lender knew, if it was the home.
func (h *Holding) SetHome(home membership.EntryID, handover *Handover) {
	if h.home == home {
		return
	}
	h.home, h.term, h.settled, h.pending, h.reported = home, 0, false, 0, Report{}
	h.Target = h.Held // kept as it is until the new home knows it
	h.handover = handover
}

// Home returns the home that the holding is bound to.
func (h *Holding) Home() membership.EntryID { return h.home }

// Acked returns when the latest report that the home acknowledged was sent.
func (h *Holding) Acked() time.Time { return h.acked }

// NextReport returns the report to send, or false when the home knows it already.
// need is how many slots work within its guaranteed share could use, wanted how
// many more slots could be used now. A need is reported at once
// when urgent, less use only with the routine reports.
func (h *Holding) NextReport(upstream string, need, wanted int, routine bool) (Report, bool) {
	item := Report{Upstream: upstream, Term: h.term, Held: h.Held, Need: need, Demand: max(h.peak, h.InUse+wanted), Handover: h.handover}
	switch {
	case h.pending != 0:
		return item, false
	case h.unknownToHome(), h.Held < h.reported.Held, !h.settled && (routine || h.again):
		return item, true
	case item.Demand > h.Held && (h.again || item.Demand > h.reported.Demand || need > max(h.Held, h.reported.Need)):
		return item, true
	case routine && (need != h.reported.Need || item.Demand != h.reported.Demand || item.Demand > h.Held):
		return item, true
	}
	return item, false
}

// ReportUrgent reports whether work may stand still until the home is told: it does
// not know this holder, or there is no slot for what waits.
func (h *Holding) ReportUrgent(wanted int) bool {
	return h.unknownToHome() || !h.settled && h.again || h.Held == 0 && wanted > 0
}

// unknownToHome reports whether the home has not acknowledged a report of its
// present term yet.
func (h *Holding) unknownToHome() bool { return h.term == 0 || h.reported.Term != h.term }

// ReportSent notes that a report is under way. A routine one forgets the peak.
func (h *Holding) ReportSent(seq uint64, routine bool) {
	h.pending, h.again = seq, false
	if routine {
		h.peak = h.InUse
	}
}

// ReportLost notes that no answer to a report will be taken.
func (h *Holding) ReportLost(seq uint64) {
	if h.pending == seq {
		h.pending = 0
	}
}

// ApplyLoan takes in the home's answer to the report with this number, sent at
// sent, unless the holding has moved or that report was given up. own says that
// the home is this entry itself, which cannot vouch for itself.
func (h *Holding) ApplyLoan(from membership.EntryID, seq uint64, item Report, loan Loan, sent time.Time, own bool) {
	if from != h.home || h.pending != seq {
		return
	}
	h.pending = 0
	if loan.TermUnknown {
		h.term = 0 // so that the next report names the upstream
	}
	if !loan.Home {
		return
	}
	if item.Term == loan.Term {
		h.handover, h.settled = nil, loan.Settled
	}
	h.term, h.reported = loan.Term, item
	if !own {
		h.acked = sent
	}
	h.reported.Held += loan.Granted
	h.Held += loan.Granted
	h.Target = h.Held
}
