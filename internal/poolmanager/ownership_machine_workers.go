package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/telemetry"
)

// machineListInterval is how often the platform is asked which workers are alive while
// some do not answer.
const machineListInterval = 300 * time.Millisecond

// machineWorkersLoop tells the pool which workers are alive, while it has doubts, until
// the ownership ends.
func (t *poolOwnership) machineWorkersLoop() {
	for t.ctx.Err() == nil {
		sleep(t.ctx, t.Clock, machineListInterval)
		if t.Machines == nil || !t.pool.HasSilentWorkers() {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.StoreTimeout)
		asked := t.Clock.Now()
		machines, err := t.Machines.List(ctx)
		cancel()
		if err != nil {
			t.log.Info("machines not read", telemetry.ProblemFields(err)...)
			continue
		}
		lives := make(map[string]string, len(machines))
		for _, m := range machines {
			lives[m.ID] = m.Worker
		}
		t.pool.SetMachineWorkers(lives, asked, t.Clock.Now())
		t.plan.send()
	}
}
