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

// Timing of the loops that follow the pools' records.
const (
	registrationPollInterval = 100 * time.Millisecond // between two reads of this entry's own registration
	routeRefreshInterval     = time.Second            // between two checks of the fence
	maxRecordsWait           = 10 * time.Second       // of one watch call
)

// The batching of changes, and one watch call, take at most the fence divided by these. A read
// counts as of its start and is confirmed by its end, so that a confirmation is at most two
// calls and the batching between them old: half of the fence. The other half is for delays.
const (
	batchingFenceDivisor = 6
	watchFenceDivisor    = 6
)

// run watches the records, updates the routes by them and carries out plans
// until ctx ends. The records are listed only once this entry is registered,
// so that every controller knows of each entry that acts on them.
func (c *control) run(ctx context.Context) {
	if !c.awaitRegistered(ctx) {
		return
	}
	var loops sync.WaitGroup
	loops.Go(func() { c.watchRecords().Run(ctx) })
	loops.Go(func() { c.refreshRoutes(ctx) })
	loops.Go(func() { c.lease.Run(ctx) })
	loops.Go(func() { c.steps.Run(ctx, c.lease) })
	loops.Wait()
}

func (c *control) awaitRegistered(ctx context.Context) bool {
	client := c.entry.platform.WithPurpose(platform.PurposeMembership)
	for ctx.Err() == nil {
		_, err := client.Get(ctx, membersPrefix+c.entry.settings.ID)
		if err == nil {
			return true
		}
		select {
		case <-c.entry.clock.After(registrationPollInterval):
		case <-ctx.Done():
		}
	}
	return false
}

func (c *control) watchRecords() *platform.Watcher {
	return &platform.Watcher{
		Store:      c.source,
		Prefix:     fleetstore.Prefix,
		Wait:       min(c.entry.settings.Platform.WatchWait, maxRecordsWait, c.entry.settings.Maintenance.Fence/watchFenceDivisor),
		Clock:      c.entry.clock,
		Log:        c.entry.log,
		OnListing:  func(l api.Listing) { c.recordsApplied(fleetstore.ApplyListing(c.view, l)) },
		OnEvent:    func(e api.Event) { c.recordsApplied(fleetstore.ApplyEvent(c.view, e)) },
		OnResponse: func(bool) { c.confirm() },
		Pause:      c.batchChanges,
	}
}

// batchChanges waits while a wave runs, so that the next watch returns several
// changes at once. An operator's change that waits for the records ends the
// wait. The wait is far shorter than the fence.
func (c *control) batchChanges(ctx context.Context) {
	c.confirm()
	_, urgent := c.urgentReads.Watch()
	pause := controller.WatchPause(c.view.State(), c.lease.Held(c.entry.clock.Now()))
	select {
	case <-c.entry.clock.After(min(pause, c.entry.settings.Maintenance.Fence/batchingFenceDivisor)):
	case <-urgent:
	case <-ctx.Done():
	}
}

// confirm records that the view holds everything that was read from the store.
// An entry that was fenced acts again only after that.
func (c *control) confirm() {
	if c.source.confirm() > c.entry.settings.Maintenance.Fence {
		c.recordsApplied(nil)
	}
}

// recordsApplied updates the routes after a read of the records; err is that of
// the record that cannot be decoded, if any.
func (c *control) recordsApplied(err error) {
	if err != nil {
		c.entry.log.Error("maintenance record cannot be decoded; its last known state stays in use", telemetry.ProblemFields(err)...)
	}
	c.router.refresh()
	c.notifyController()
	if !c.allPoolsPlaced.Get() {
		c.entry.slots.requestRound() // so that the first placements don't wait for the next regular round
	}
}

// refreshRoutes refreshes the routes when the configuration changes, and every
// routeRefreshInterval, so that the fence also takes effect when nothing changes.
func (c *control) refreshRoutes(ctx context.Context) {
	for ctx.Err() == nil {
		var changed <-chan struct{}
		var inForce configuration.Versioned
		inForce, changed = c.entry.inForce.Watch()
		c.router.refresh()
		select {
		case <-changed:
			c.notifyController()
			c.entry.log.Debug("routes updated after a change of the configuration", zap.String("step", string(problem.StepRoute)), zap.Uint64("replaced", uint64(inForce.Version)))
		case <-c.entry.clock.After(routeRefreshInterval):
		case <-ctx.Done():
		}
	}
}
