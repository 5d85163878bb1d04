package poolmanager

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// capacityReporter is what this owner has reported of its machines. Only one goroutine uses
// it.
type capacityReporter struct {
	*poolOwnership
	offered      map[string]int64 // by machine: the revision of the offer
	taken        map[string]bool  // offered machines that are to be moved
	takenAt      time.Time        // when these were last looked after
	reportedNeed int              // the need last told
	offerAfter   time.Time        // no offer before: the last one came too early
}

// step tells what has changed.
func (b *capacityReporter) step(ctx context.Context) error {
	now := b.pool.CapacityReport(b.Clock.Now())
	if err := b.settleTaken(ctx); err != nil {
		return err
	}
	need := now.Need
	for m := range b.offered {
		gone := !slices.Contains(now.Offers, m) // its worker ended
		if !gone && (need == 0 || now.ToGiveUp > 0) {
			continue
		}
		back, err := b.takeBack(ctx, m)
		if err != nil {
			return err
		}
		if back && !gone && need > 0 {
			need--
		}
	}
	fresh := slices.DeleteFunc(now.Offers, func(m string) bool { return b.offered[m] != 0 || b.taken[m] })
	if need != b.reportedNeed || len(fresh) > 0 {
		b.log.Info("balance", zap.Int("need", need), zap.Int("offers", len(fresh)), zap.Float64("used", now.Load.Used),
			zap.Float64("waiting", now.Load.Waiting), zap.Float64("backlog", now.Load.Backlog), zap.Float64("coming", now.Load.Expected), zap.Float64("have", now.Load.Usable))
	}
	if need != b.reportedNeed {
		if err := b.writeNeed(ctx, need); err != nil {
			return err
		}
	}
	if (now.Need == 0 || now.ToGiveUp > 0) && len(fresh) > 0 && b.Clock.Now().After(b.offerAfter) {
		return b.offer(ctx, fresh)
	}
	return nil
}
