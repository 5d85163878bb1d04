package guard

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/readbudget"
	"persimmonbay/internal/shard"
)

// logInterval is the least time between two log lines of one cause.
const logInterval = 10 * time.Second

// events counts what was given up, by cause.
type events struct {
	clock   clockwork.Clock
	log     *zap.Logger
	byCause *shard.Map[readbudget.Cause, event]
}

func newEvents(clock clockwork.Clock, log *zap.Logger) *events {
	return &events{clock: clock, log: log, byCause: shard.NewMap[readbudget.Cause, event]()}
}

// add counts one, and logs it unless a line of that cause was logged within logInterval.
func (e *events) add(cause readbudget.Cause, peer string) {
	now := e.clock.Now()
	var count, unlogged int64
	e.byCause.Update(cause, func(old event, _ bool) (event, bool) {
		old.count++
		count, unlogged = old.count, old.count-old.logged
		if now.Sub(old.loggedAt) < logInterval {
			unlogged = 0
			return old, true
		}
		old.logged, old.loggedAt = old.count, now
		return old, true
	})
	if unlogged > 0 {
		e.log.Warn("client's connection given up", zap.String("cause", string(cause)), zap.String("peer", peer), zap.Int64("sinceLastLine", unlogged), zap.Int64("count", count))
	}
}

func (e *events) counts() map[string]int64 {
	counts := map[string]int64{}
	e.byCause.Range(func(cause readbudget.Cause, one event) bool {
		counts[string(cause)] = one.count
		return true
	})
	return counts
}
