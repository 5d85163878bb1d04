package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/telemetry"
)

// machineListInterval is how often the platform's list of machines is read while some
// workers do not answer.
const machineListInterval = 300 * time.Millisecond

// machineWorkersLoop passes the worker that the platform lists for each machine to the
// pool, while some workers do not answer, until the ownership ends.
func (t *poolOwnership) machineWorkersLoop() {
	for t.ctx.Err() == nil {
		sleep(t.ctx, t.Clock, machineListInterval)
		if t.Machines == nil || !t.pool.HasSilentWorkers() {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.StoreTimeout)
		sentAt := t.Clock.Now()
		machines, err := t.Machines.List(ctx)
		cancel()
		if err != nil {
			t.log.Info("list of machines not read, silent workers still count as possibly alive", telemetry.ProblemFields(err)...)
			continue
		}
		workers := make(map[string]string, len(machines))
		for _, m := range machines {
			workers[m.ID] = m.Worker
		}
		t.pool.SetMachineWorkers(workers, sentAt, t.Clock.Now())
		t.plan.send()
	}
}
