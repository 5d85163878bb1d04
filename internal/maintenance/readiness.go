package maintenance

import (
	"strings"
	"time"
)

// AssignmentWait is how long an entry waits for pools without an assigned
// instance. Afterwards it counts as ready if any pool has one.
const AssignmentWait = 10 * time.Second

// Readiness is what an entry knows about its ability to send work to the
// configured pools.
type Readiness struct {
	ListKnown  bool          // the platform's list of instances has been read, by this entry or a peer
	MayAct     bool          // the entry may send work by the records that it has (see MayAct)
	Assigned   []string      // pools with a live instance that has a record, by which the entry routes
	Unassigned []string      // pools with live instances of which none has a record here
	WaitedFor  time.Duration // since the entry first had the configuration, the list and the records
}

// Obstacle returns why the entry can't serve as configured, or an empty string
// if it can. A pool without a live instance is no obstacle, since no entry can
// serve it. After AssignmentWait, an unassigned pool is none either if other
// pools are assigned.
func (r Readiness) Obstacle() string {
	pools := "pools " + strings.Join(r.Unassigned, ", ")
	switch {
	case !r.ListKnown:
		return "the platform's list of instances is not known yet"
	case len(r.Assigned) == 0 && len(r.Unassigned) > 0:
		return "no instance is assigned to any of the " + pools + " yet; the holder of the control lease assigns them once it reaches the store"
	case len(r.Unassigned) > 0 && r.WaitedFor < AssignmentWait:
		return "no instance is assigned yet to the " + pools
	case len(r.Assigned) > 0 && !r.MayAct:
		return "the store has not confirmed the records of the pools for too long; check this entry's network and the platform's store"
	}
	return ""
}
