package keeper

import (
	"context"
	"time"

	"persimmonbay/internal/telemetry"
)

// livesEvery is how often the platform is asked which workers are alive while
// some do not answer.
const livesEvery = 300 * time.Millisecond

// livesLoop tells the pool which workers are alive, while it has doubts, until
// the tenure ends.
func (t *tenure) livesLoop() {
	for t.ctx.Err() == nil {
		sleep(t.ctx, t.Clock, livesEvery)
		if t.Machines == nil || !t.pool.Doubts() {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, t.bounds.Call)
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
		t.pool.SetLives(lives, asked, t.Clock.Now())
		t.plan.send()
	}
}
