package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// Timing of the loops that keep to the pools.
const (
	registeredEvery = 100 * time.Millisecond // between two looks for the own registration
	refreshEvery    = time.Second            // between two looks at the fence
	gatherShare     = 6                      // at most one part in so many of the fence is spent gathering changes
	maxRecordsWait  = 10 * time.Second       // of one watch call, so that the view is confirmed well within the fence
)

// run follows the records, keeps the routes up with them and carries plans out
// until ctx ends. The records are listed only once this entry is registered,
// so that no controller overlooks an entry that acts on them.
func (c *control) run(ctx context.Context) {
	if !c.awaitRegistered(ctx) {
		return
	}
	var loops sync.WaitGroup
	loops.Go(func() { c.watchRecords().Run(ctx) })
	loops.Go(func() { c.keepRoutes(ctx) })
	loops.Go(func() { c.lease.Run(ctx) })
	loops.Go(func() { c.steps.Run(ctx, c.lease) })
	loops.Wait()
}

func (c *control) awaitRegistered(ctx context.Context) bool {
	client := c.entry.platform.For(platform.PurposeMembership)
	for ctx.Err() == nil {
		_, err := client.Get(ctx, membersPrefix+c.entry.settings.ID)
		if err == nil {
			return true
		}
		select {
		case <-c.entry.clock.After(registeredEvery):
		case <-ctx.Done():
		}
	}
	return false
}

func (c *control) watchRecords() *platform.Watcher {
	return &platform.Watcher{
		Store:   c.source,
		Prefix:  fleetstore.Prefix,
		Wait:    min(c.entry.settings.Platform.WatchWait, maxRecordsWait, c.entry.settings.Maintenance.Fence/3),
		Clock:   c.entry.clock,
		Log:     c.entry.log,
		Listed:  func(l api.Listing) { c.applied(fleetstore.ApplyListing(c.view, l)) },
		Changed: func(e api.Event) { c.applied(fleetstore.ApplyEvent(c.view, e)) },
		Reached: func(bool) { c.confirm() },
		Pause:   c.gather,
	}
}

// gather lets further changes gather while a wave runs, unless an operator's
// change waits for them. It stays far within the fence.
func (c *control) gather(ctx context.Context) {
	c.confirm()
	_, hurried := c.hurry.Watch()
	pause := controller.WatchPause(c.view.State(), c.lease.Held(c.entry.clock.Now()))
	select {
	case <-c.entry.clock.After(min(pause, c.entry.settings.Maintenance.Fence/gatherShare)):
	case <-hurried:
	case <-ctx.Done():
	}
}

// confirm notes that the view holds all that the store told. An entry whose
// fence had fallen acts again only then.
func (c *control) confirm() {
	if c.source.confirm() > c.entry.settings.Maintenance.Fence {
		c.applied(nil)
	}
}

func (c *control) applied(err error) {
	if err != nil {
		c.entry.log.Error("record cannot be read; what was known stays", telemetry.ProblemFields(err)...)
	}
	c.router.refresh()
	c.stir()
	if !c.served.Get() {
		c.entry.slots.press() // so that the first placements don't wait for its next round
	}
}

// keepRoutes refreshes the routes when the configuration changes, and at times
// so that the fence falls also when nothing does.
func (c *control) keepRoutes(ctx context.Context) {
	for ctx.Err() == nil {
		var changed <-chan struct{}
		var inForce configuration.Versioned
		inForce, changed = c.entry.inForce.Watch()
		c.router.refresh()
		select {
		case <-changed:
			c.stir()
			c.entry.log.Debug("routes follow the configuration", zap.String("step", string(problem.StepRoute)), zap.Uint64("replaced", uint64(inForce.Version)))
		case <-c.entry.clock.After(refreshEvery):
		case <-ctx.Done():
		}
	}
}
