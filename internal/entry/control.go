package entry

import (
	"time"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/shard"
)

// control is the part of an entry that keeps to the pools and, while it holds
// the control lease, carries plans out. Its fields are set once; what they
// share is in their own shards.
type control struct {
	entry  *Entry
	view   *maintenance.View
	store  *fleetstore.Store
	source *confirmingStore
	router *router
	work   *workCounter
	policy maintenance.Policy
	steps  *controller.Controller
	lease  *controller.Lease
	stirs  *shard.Cell[uint64]    // rises when a plan may have something new to do
	hurry  *shard.Cell[uint64]    // rises when an operator's change waits for the latest records
	served *shard.Cell[bool]      // requests have been placed by records of every pool with instances
	steady *shard.Cell[time.Time] // since when this entry has seen all entries and none go
}

func newControl(e *Entry) *control {
	pools, waves := e.platform.For(platform.PurposePools), e.platform.For(platform.PurposeWaves)
	c := &control{
		entry:  e,
		view:   maintenance.NewView(),
		store:  fleetstore.New(waves),
		source: newConfirmingStore(pools, e.clock),
		work:   newWorkCounter(),
		policy: maintenance.DefaultPolicy(),
		hurry:  shard.NewCell[uint64](0),
		served: shard.NewCell(false),
		stirs:  shard.NewCell[uint64](0),
		steady: shard.NewCell(e.clock.Now()),
	}
	c.policy.RebootGrace, c.policy.ReturnTimeout = e.settings.Maintenance.RebootGrace, e.settings.Maintenance.ReturnTimeout
	c.policy.KnownFor = e.settings.Maintenance.Fence + e.settings.Membership.LeaseTTL
	c.router = newRouter(c)
	c.steps = &controller.Controller{Store: c.store, Rebooter: waves, Sources: c, Policy: c.policy, WriteRate: controller.DefaultWriteRate(), Clock: e.clock, Log: e.log}
	c.lease = controller.NewLease(waves, waves, e.settings.ID, e.settings.Membership.LeaseTTL, controller.LeaseWait(e.settings.Platform.WatchWait), e.clock, e.log)
	c.steps.HeldUntil = c.lease.HeldUntil
	return c
}

// stir wakes the controller: records, list or configuration have changed.
func (c *control) stir() {
	c.stirs.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// entriesChanged notes that an entry has gone, or may have without being seen.
func (c *control) entriesChanged() {
	c.steady.Update(func(time.Time) (time.Time, bool) { return c.entry.clock.Now(), true })
}
