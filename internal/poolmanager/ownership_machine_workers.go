package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upkeep"
)

// machineListInterval is how often the platform's list of machines is read while some
// workers do not answer.
const machineListInterval = 300 * time.Millisecond

// machineWorkersLoop passes the worker that the platform lists for each machine to the
// pool, while some workers do not answer, until the ownership ends.
func (o *poolOwnership) machineWorkersLoop() {
	for o.ctx.Err() == nil {
		sleep(o.ctx, o.Clock, machineListInterval)
		if o.Machines == nil || !o.pool.HasSilentWorkers() {
			continue
		}
		ctx, cancel := context.WithTimeout(o.ctx, o.timing.StoreTimeout)
		sentAt := o.Clock.Now()
		machines, err := o.Machines.List(ctx)
		cancel()
		if err != nil {
			o.log.Info("list of machines not read, silent workers still count as possibly alive", telemetry.ProblemFields(err)...)
			continue
		}
		workers := make(map[string]string, len(machines))
		reassigned := make(map[string]bool)
		for _, m := range machines {
			workers[m.ID] = m.Worker
			if m.Pool != o.service || m.State == upkeep.Moving || m.State == upkeep.InUpkeep {
				reassigned[m.ID] = true
			}
		}
		o.pool.SetMachineWorkers(workers, sentAt, o.Clock.Now())
		o.pool.SetReassignedMachines(reassigned, sentAt)
		o.plan.send()
	}
}
