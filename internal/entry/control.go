package entry

import (
	"time"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/shard"
)

// control is the part of an entry that routes requests by the pools'
// maintenance records and, while the entry holds the control lease, carries out
// maintenance plans. Its fields are set once; shared state is in sharded cells,
// each under its own lock.
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
	// inputChanges counts changes of the records, the instance list and the
	// configuration, by which a plan may have new steps.
	inputChanges *shard.Cell[uint64]
	// urgentReads counts operators' changes that wait for the latest records.
	urgentReads *shard.Cell[uint64]
	// allPoolsPlaced is true once requests are placed by records of every pool
	// that has instances.
	allPoolsPlaced *shard.Cell[bool]
	// membersStableSince is the time since which this entry has known of all
	// entries, and none has gone.
	membersStableSince *shard.Cell[time.Time]
}

func newControl(e *Entry) *control {
	pools, waves := e.platform.WithPurpose(platform.PurposePools), e.platform.WithPurpose(platform.PurposeWaves)
	c := &control{
		entry:              e,
		view:               maintenance.NewView(),
		store:              fleetstore.New(waves),
		source:             newConfirmingStore(pools, e.clock),
		work:               newWorkCounter(),
		policy:             maintenance.DefaultPolicy(),
		urgentReads:        shard.NewCell[uint64](0),
		allPoolsPlaced:     shard.NewCell(false),
		inputChanges:       shard.NewCell[uint64](0),
		membersStableSince: shard.NewCell(e.clock.Now()),
	}
	c.policy.RebootGrace, c.policy.ReturnTimeout = e.settings.Maintenance.RebootGrace, e.settings.Maintenance.ReturnTimeout
	c.policy.KnownFor = e.settings.Maintenance.Fence + e.settings.Membership.LeaseTTL
	c.router = newRouter(c)
	c.steps = &controller.Controller{Store: c.store, Rebooter: waves, Sources: c, Policy: c.policy, WriteRate: controller.DefaultWriteRate(), Clock: e.clock, Log: e.log}
	c.lease = controller.NewLease(waves, waves, e.settings.ID, e.settings.Membership.LeaseTTL, controller.LeaseWait(e.settings.Platform.WatchWait), e.clock, e.log)
	c.steps.HeldUntil = c.lease.HeldUntil
	return c
}

// notifyController wakes the controller after a change of the records, the
// instance list or the configuration.
func (c *control) notifyController() {
	c.inputChanges.Update(func(n uint64) (uint64, bool) { return n + 1, true })
}

// entriesChanged records that an entry has gone, or may have gone while this
// entry could not see it.
func (c *control) entriesChanged() {
	c.membersStableSince.Update(func(time.Time) (time.Time, bool) { return c.entry.clock.Now(), true })
}
