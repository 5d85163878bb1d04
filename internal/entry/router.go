package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

// settleTime is how long after the routes changed a placement by the old ones
// may still appear among the work.
const settleTime = 200 * time.Millisecond

// maxTableAge is how old the routing table may be when work is placed by it.
const maxTableAge = 2 * refreshEvery

// router keeps the routing table up with the records, the platform's list and
// the configuration. mu guards the order of its replacements and the field
// applied.
type router struct {
	control *control
	mu      sync.Mutex
	applied applied
	latest  atomic.Int64 // when the table was last replaced, in Unix nanoseconds
}

func newRouter(c *control) *router { return &router{control: c} }

// refresh replaces the routing table by what is known now.
func (r *router) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.control.entry
	state := r.control.view.State()
	var serving []fleet.Instance
	if c := e.inForce.Get().Configuration; c != nil && r.control.mayAct(state.Revision) {
		serving = maintenance.ServingInstances(e.inventory.Get().Instances, r.control.view.Record, maintenance.ServicePools(c))
	}
	e.routes.Replace(serving, e.clock.Now())
	r.latest.Store(e.clock.Now().UnixNano())
	r.settle()
	if r.applied.known.IsZero() && r.knowsAll() {
		r.applied.known = e.clock.Now()
	}
	if state.Revision != r.applied.revision {
		r.applied.revision, r.applied.at = state.Revision, e.clock.Now()
	}
}

// refreshOld refreshes a table that has not been for long, as after a pause of
// the whole process, before anything is placed by it.
func (r *router) refreshOld() {
	if r.control.entry.clock.Now().UnixNano()-r.latest.Load() > int64(maxTableAge) {
		r.refresh()
	}
}

// settle moves the settled revision on. mu is held.
func (r *router) settle() {
	if r.control.entry.clock.Since(r.applied.at) >= settleTime {
		r.applied.settled = r.applied.revision
	}
}

// settledRevision returns the revision of the records that every placement
// follows.
func (r *router) settledRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	return r.applied.settled
}

// knowsAll reports whether configuration, list and records have all been known.
func (r *router) knowsAll() bool {
	e := r.control.entry
	return e.inForce.Get().Configuration != nil && e.inventory.Get().Stamp.Generation > 0 && !r.control.source.confirmed.Get().IsZero()
}

// following returns which records the routes follow.
func (r *router) following() applied {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied
}
