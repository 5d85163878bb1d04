package placement

import "persimmonbay/internal/fleet"

// occupant is a job that takes up room on a worker.
type occupant struct {
	job   *Job
	whole fleet.Resources // what it takes up unless throttled
	size  fleet.Resources // what it takes up, or will once it is throttled
	rank  rank
}

// before reports whether room is taken from o rather than from other.
func (o occupant) before(other occupant) bool {
	switch {
	case o.rank != other.rank:
		return o.rank < other.rank
	case !o.job.Attempt.Since.Equal(other.job.Attempt.Since):
		return o.job.Attempt.Since.After(other.job.Attempt.Since)
	}
	return o.job.ID < other.job.ID
}

// yields returns what o can give to another job, and how.
func (o occupant) yields() (fleet.Resources, PreemptionMethod) {
	if o.job.Repeatable {
		return o.size, Checkpoint
	}
	if o.job.Throttled {
		return fleet.Resources{}, Throttle
	}
	return fleet.Resources{MilliCores: o.whole.MilliCores - throttled(o.whole).MilliCores}, Throttle
}
