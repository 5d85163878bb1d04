package jobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/telemetry"
)

// Intervals of Run.
const (
	leasePollInterval = 100 * time.Millisecond // between checks of the lease while another entry holds it
	idleStepInterval  = time.Second            // between steps without a change
	busyStepInterval  = 100 * time.Millisecond // between steps while orders are due
	minStepInterval   = 20 * time.Millisecond  // minimum between steps, so that one step handles several changes
)

// Run places jobs whenever the lease is held, until ctx ends. watch is the
// maximum wait of one watch call to the store.
func (c *Controller) Run(ctx context.Context, store platform.Store, watch time.Duration, held func() bool) {
	for ctx.Err() == nil {
		if held() {
			c.runTerm(ctx, store, watch, held)
		}
		c.pause(ctx, leasePollInterval)
	}
}

// runTerm places jobs in one term, until the lease is no longer held or ctx ends.
func (c *Controller) runTerm(ctx context.Context, store platform.Store, watch time.Duration, held func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.View.MarkStale()
	c.Begin(uuid.NewString())
	var loops sync.WaitGroup
	defer c.Wait()
	defer loops.Wait()
	defer cancel()
	loops.Go(func() { c.newWatcher(store, watch).Run(ctx) })
	for ctx.Err() == nil && held() {
		changed := c.View.Changed()
		interval := idleStepInterval
		if c.Step(ctx, held) {
			interval = busyStepInterval
		}
		select {
		case <-changed:
		case <-c.clock.After(interval):
		case <-ctx.Done():
		}
		c.pause(ctx, minStepInterval)
	}
}

func (c *Controller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-c.clock.After(d):
	case <-ctx.Done():
	}
}

func (c *Controller) newWatcher(store platform.Store, watch time.Duration) *platform.Watcher {
	return &platform.Watcher{
		Store: store, Prefix: jobstore.Prefix, Wait: watch, Clock: c.clock, Log: c.log,
		OnListing:  func(l api.Listing) { c.logDecodeError(c.View.PutListing(l)) },
		OnEvent:    func(e api.Event) { c.logDecodeError(c.View.PutEvent(e)) },
		OnResponse: func(bool) {},
	}
}

func (c *Controller) logDecodeError(err error) {
	if err != nil {
		c.log.Error(fmt.Sprintf("decoding the stored jobs under %s failed; their previous state stays in use", jobstore.Prefix), telemetry.ProblemFields(err)...)
	}
}
