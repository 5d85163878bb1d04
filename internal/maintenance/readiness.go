package maintenance

import (
	"strings"
	"time"
)

// AssignmentWait is how long an entry waits for pools without an assigned
// instance before it counts as ready with the others.
const AssignmentWait = 10 * time.Second

// Readiness is what an entry knows of whether it can send work to the pools
// that the configuration names.
type Readiness struct {
	ListKnown  bool          // the platform's list has been read, by this entry or a peer
	MayAct     bool          // the entry may send work by the records it knows
	Assigned   []string      // pools with a live instance whose record the routes follow
	Unassigned []string      // pools with live instances, none of which has a record here
	Waited     time.Duration // since the entry first knew configuration, list and records
}

// Obstacle says why the entry can't serve what the configuration says, or
// nothing. A pool without a live instance is no obstacle, since no entry can
// serve it; nor, after AssignmentWait, is one that nobody assigns while others
// are assigned.
func (r Readiness) Obstacle() string {
	pools := "pools " + strings.Join(r.Unassigned, ", ")
	switch {
	case !r.ListKnown:
		return "the platform's list of instances is not known yet"
	case len(r.Assigned) == 0 && len(r.Unassigned) > 0:
		return "no instance is assigned to any of the " + pools + " yet; the holder of the control lease does that once the store is in reach"
	case len(r.Unassigned) > 0 && r.Waited < AssignmentWait:
		return "no instance is assigned yet to the " + pools
	case len(r.Assigned) > 0 && !r.MayAct:
		return "the store has not confirmed the records of pools for too long; look at the network of this entry and at the platform's store"
	}
	return ""
}
