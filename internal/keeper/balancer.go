package keeper

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// balancer is what a tenure has told of its machines. Only one goroutine uses
// it.
type balancer struct {
	*tenure
	offered    map[string]int64 // by machine: the revision of the offer
	said       int              // the need last told
	offerAfter time.Time        // no offer before: the last one came too early
}

// step tells what has changed.
func (b *balancer) step(ctx context.Context) error {
	now := b.pool.Balance(b.Clock.Now())
	for m := range b.offered {
		if !slices.Contains(now.Offers, m) {
			delete(b.offered, m) // its worker is gone: it was moved
		}
	}
	need := now.Need
	for m := range b.offered {
		if need == 0 || now.Recalled > 0 {
			break
		}
		back, err := b.takeBack(ctx, m)
		if err != nil {
			return err
		}
		if back {
			need--
		}
	}
	fresh := slices.DeleteFunc(now.Offers, func(m string) bool { return b.offered[m] != 0 })
	if need != b.said || len(fresh) > 0 {
		b.log.Info("balance", zap.Int("need", need), zap.Int("offers", len(fresh)), zap.Float64("used", now.Load.Used),
			zap.Float64("waiting", now.Load.Waiting), zap.Float64("backlog", now.Load.Backlog), zap.Float64("have", now.Load.Have))
	}
	if need != b.said {
		if err := b.tellNeed(ctx, need); err != nil {
			return err
		}
	}
	if (now.Need == 0 || now.Recalled > 0) && len(fresh) > 0 && b.Clock.Now().After(b.offerAfter) {
		return b.offer(ctx, fresh)
	}
	return nil
}
