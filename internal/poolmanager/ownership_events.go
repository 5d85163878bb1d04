package poolmanager

import (
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
)

// logEvents logs the pool's events. A worker's first reply is logged at the level info
// only if it is late, as every owner receives one from every worker.
func (o *poolOwnership) logEvents() {
	for _, e := range o.pool.TakeEvents() {
		log := o.log.Info
		if e.Kind == scheduler.WorkerFenced && e.OwnedFor < lateFirstReply {
			log = o.log.Debug
		}
		log("worker or job in doubt", zap.Stringer("event", e.Kind), zap.String("worker", e.Worker), zap.String("job", e.Task.Job),
			zap.Int("step", e.Task.Step), zap.Int("index", e.Task.Index), zap.Int("attempt", e.Attempt), zap.Int64("number", e.Number),
			zap.Int64("born", e.Incarnation), zap.Duration("owned", e.OwnedFor))
	}
}

// lateFirstReply is how long after the take-over a worker's first reply is late.
const lateFirstReply = 500 * time.Millisecond
