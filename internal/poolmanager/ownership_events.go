package poolmanager

import (
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
)

// logEvents logs the pool's events. A worker's first reply is logged at the level info
// only if it is late, as every owner receives one from every worker.
func (o *poolOwnership) logEvents() {
	events := o.pool.TakeEvents()
	now := o.Clock.Now()
	for i := range events {
		e := &events[i]
		if e.Kind.AboutRun() {
			o.lines.logEvent(e, now)
			continue
		}
		log := o.log.Info
		if e.Kind == scheduler.WorkerFenced && e.OwnedFor < lateFirstReply {
			log = o.log.Debug
		}
		log("worker or job in doubt", zap.Stringer("event", e.Kind), zap.String("worker", e.Worker), zap.String("job", e.Task.Job),
			zap.Int("step", e.Task.Step), zap.Int("index", e.Task.Index), zap.Int("attempt", e.Attempt), zap.Int64("number", e.Number),
			zap.Int64("incarnation", e.Incarnation), zap.Int64("former_incarnation", e.FormerIncarnation), zap.Duration("owned", e.OwnedFor))
	}
	o.lines.logOmitted(o.pool.Counts().Untold)
}

// lateFirstReply is how long after the take-over a worker's first reply is late.
const lateFirstReply = 500 * time.Millisecond
