package controller

import (
	"context"
	"time"
)

// Timing of the controller's loop.
const (
	idleStepInterval = time.Second            // longest wait for a change after the pause between two steps
	minStepInterval  = 100 * time.Millisecond // shortest pause between two steps, so that changes within it are planned together
)

// Run makes a step whenever a change may require one and otherwise
// periodically, while lease is held and until ctx ends. A change after a quiet
// period is acted on at once.
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
	case <-c.Clock.After(idleStepInterval):
	case <-ctx.Done():
	}
}
