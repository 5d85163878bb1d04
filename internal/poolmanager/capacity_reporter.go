package poolmanager

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
)

// capacityReporter reports to the machine controller how many machines the pool needs
// and which ones it can spare. Only one goroutine uses it.
type capacityReporter struct {
	*poolOwnership
	offered         map[string]int64     // by machine: the revision of the offer
	claimed         map[string]bool      // offered machines that the machine controller has claimed for a move
	claimsCheckedAt time.Time            // when the claimed machines were last checked
	reportedNeed    int                  // the need last stored
	kinds           []scheduler.KindNeed // kinds of machines that the pool needs now
	storedKinds     []scheduler.KindNeed // the same as last stored, if kindsStored
	kindsStored     bool
	offerAfter      time.Time // no offer before then, as the last one was refused
}

func newCapacityReporter(o *poolOwnership, offered map[string]int64) *capacityReporter {
	r := &capacityReporter{poolOwnership: o, offered: offered, claimed: map[string]bool{}, reportedNeed: unknownNeed}
	maps.Copy(r.claimed, o.claimedOffers)
	return r
}

// step reports the changes since the last step: it withdraws offers of machines that
// the pool needs itself, writes the need, and offers machines that have become spare.
func (r *capacityReporter) step(ctx context.Context) error {
	report := r.pool.CapacityReport(r.Clock.Now())
	if err := r.checkClaimed(ctx); err != nil {
		return err
	}
	if len(report.TakeBack) > 0 {
		r.log.Info("offers withdrawn, as waiting tasks have room on no other machine", zap.Strings("machines", report.TakeBack))
	}
	for _, m := range report.TakeBack {
		if r.offered[m] == 0 {
			continue // its offer was taken
		}
		if _, err := r.withdraw(ctx, m); err != nil {
			return err
		}
	}
	need := report.Need
	for m := range r.offered {
		gone := !slices.Contains(report.Offers, m) // its worker has ended
		if !gone && (need == 0 || report.ToGiveUp > 0) {
			continue
		}
		withdrawn, err := r.withdraw(ctx, m)
		if err != nil {
			return err
		}
		if withdrawn && !gone && need > 0 {
			need--
		}
	}
	spare := slices.DeleteFunc(report.Offers, func(m string) bool { return r.offered[m] != 0 || r.claimed[m] || slices.Contains(report.TakeBack, m) })
	r.kinds = report.Kinds
	if need != r.reportedNeed || r.kindsChanged() || len(spare) > 0 {
		r.log.Info("balance", zap.Int("need", need), zap.Any("kinds", r.kinds), zap.Int("offers", len(spare)), zap.Float64("used", report.Load.Used),
			zap.Float64("waiting", report.Load.Waiting), zap.Float64("backlog", report.Load.Backlog), zap.Float64("coming", report.Load.Expected), zap.Float64("have", report.Load.Usable))
	}
	if need != r.reportedNeed || r.kindsChanged() {
		if err := r.writeNeed(ctx, need); err != nil {
			return err
		}
	}
	if (report.Need == 0 || report.ToGiveUp > 0) && len(spare) > 0 && r.Clock.Now().After(r.offerAfter) {
		return r.offer(ctx, spare)
	}
	return nil
}

// kindsChanged reports whether the stored kinds of machines differ from those that the
// pool needs, or are not known.
func (r *capacityReporter) kindsChanged() bool {
	return !r.kindsStored || !slices.Equal(r.kinds, r.storedKinds)
}
