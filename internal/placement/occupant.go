package placement

import "persimmonbay/internal/fleet"

// occupant is a starting or running job on a worker.
type occupant struct {
	job         *Job
	unthrottled fleet.Resources // the resources it uses when not throttled
	size        fleet.Resources // the resources it uses once any throttling has taken effect
	rank        rank
}

// preemptedBefore reports whether o is preempted before other: lower ranks
// first, then the latest start.
func (o occupant) preemptedBefore(other occupant) bool {
	switch {
	case o.rank != other.rank:
		return o.rank < other.rank
	case !o.job.Attempt.Since.Equal(other.job.Attempt.Since):
		return o.job.Attempt.Since.After(other.job.Attempt.Since)
	}
	return o.job.ID < other.job.ID
}

// preemptionGain returns the resources that preempting o frees, and the
// method. A job that is not repeatable can only be throttled, and only once.
func (o occupant) preemptionGain() (fleet.Resources, PreemptionMethod) {
	if o.job.Repeatable {
		return o.size, Checkpoint
	}
	if o.job.Throttled {
		return fleet.Resources{}, Throttle
	}
	return fleet.Resources{MilliCores: o.unthrottled.MilliCores - throttled(o.unthrottled).MilliCores}, Throttle
}
