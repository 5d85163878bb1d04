package poolmanager

import (
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
)

// logEvents writes the pool's events to the log. A worker's first answer is only
// told when it comes late, as every owner hears it of every worker.
func (t *poolOwnership) logEvents() {
	for _, e := range t.pool.TakeEvents() {
		log := t.log.Info
		if e.Kind == scheduler.WorkerFenced && e.OwnedFor < lateFence {
			log = t.log.Debug
		}
		log("worker or job in doubt", zap.Stringer("event", e.Kind), zap.String("worker", e.Worker), zap.String("job", e.Task.Job),
			zap.Int("step", e.Task.Step), zap.Int("index", e.Task.Index), zap.Int("attempt", e.Attempt), zap.Int64("number", e.Number),
			zap.Int64("born", e.Incarnation), zap.Duration("owned", e.OwnedFor))
	}
}

// lateFence is how long after the take-over a worker's first answer is late.
const lateFence = 500 * time.Millisecond
