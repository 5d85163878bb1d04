package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

// settleTime is how long after a change of the routes a placement by the old
// ones may still be added to the work counter.
const settleTime = 200 * time.Millisecond

// maxTableAge is the age up to which the routing table is used to place work.
const maxTableAge = 2 * routeRefreshInterval

// router rebuilds the routing table from the records, the platform's list of
// instances and the configuration. mu guards state and the order in which tables
// replace each other.
type router struct {
	control    *control
	mu         sync.Mutex
	state      routeState
	replacedAt atomic.Int64 // when the table was last replaced, in Unix nanoseconds
}

func newRouter(c *control) *router { return &router{control: c} }

// refresh rebuilds the routing table from what is known now. While this entry may
// not act on the records, the table has no instance.
func (r *router) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.control.entry
	records := r.control.view.State()
	var serving []fleet.Instance
	if c := e.inForce.Get().Configuration; c != nil && r.control.mayAct(records.Revision) {
		serving = maintenance.ServingInstances(e.inventory.Get().Instances, r.control.view.Record, maintenance.ServicePools(c))
	}
	e.routes.Replace(serving, e.clock.Now())
	r.replacedAt.Store(e.clock.Now().UnixNano())
	r.settle()
	if r.state.knownSince.IsZero() && r.allKnown() {
		r.state.knownSince = e.clock.Now()
	}
	if records.Revision != r.state.revision {
		r.state.revision, r.state.since = records.Revision, e.clock.Now()
	}
}

// refreshIfStale refreshes a table older than maxTableAge before a placement
// uses it. Tables become that old when the whole process was paused.
func (r *router) refreshIfStale() {
	if r.control.entry.clock.Now().UnixNano()-r.replacedAt.Load() > int64(maxTableAge) {
		r.refresh()
	}
}

// settle advances the settled revision after settleTime. mu must be held.
func (r *router) settle() {
	if r.control.entry.clock.Since(r.state.since) >= settleTime {
		r.state.settled = r.state.revision
	}
}

// settledRevision returns the revision such that no placement by older records
// can still appear.
func (r *router) settledRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	return r.state.settled
}

// allKnown reports whether the configuration, the list of instances and the
// records are all known.
func (r *router) allKnown() bool {
	e := r.control.entry
	return e.inForce.Get().Configuration != nil && e.inventory.Get().Stamp.Generation > 0 && !r.control.source.confirmed.Get().startedAt.IsZero()
}

// current returns which records the routing table is built from.
func (r *router) current() routeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
