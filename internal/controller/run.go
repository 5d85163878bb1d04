package controller

import (
	"context"
	"time"
)

// Timing of the controller's loop.
const (
	stepEvery = time.Second            // without a change
	stepPause = 100 * time.Millisecond // between two steps at least while no wave runs, so that changes gather
)

// Run steps whenever something may have changed, at once after a quiet time, for
// as long as lease is held and until ctx ends.
func (c *Controller) Run(ctx context.Context, lease *Lease) {
	for ctx.Err() == nil {
		changed := c.Sources.Changed()
		if lease.Held(c.Clock.Now()) {
			c.Step(ctx)
		}
		c.wait(ctx, changed)
	}
}

func (c *Controller) wait(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-c.Clock.After(StepPause(c.Sources.State())):
	case <-ctx.Done():
		return
	}
	select {
	case <-changed:
	case <-c.Clock.After(stepEvery):
	case <-ctx.Done():
	}
}
