package door

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxAge is the age from which on a report decides nothing: a pool may get as many
	// machines again as it has in little more than that.
	MaxAge = time.Second
	// usefulFactor is how many times its objective a job may take and still be of some
	// use to its caller.
	usefulFactor = 3
	// margin is the factor by which a job's end must lie beyond that: the work ahead and
	// the pool's machines are estimates.
	margin = 1.5
)

// Decide returns the verdict on a job that arrives at now. A job is refused only if its team
// has sent all that its weight allows, as it then waits for all work within the weights, and
// if that takes so long that its end would be of no use. Work that arrives later and goes
// before it is not foreseen.
func Decide(r *Report, j *Job, now time.Time) Verdict {
	if r == nil || now.Sub(r.At) > MaxAge {
		return Verdict{Cause: NoReport}
	}
	v := Verdict{Age: max(now.Sub(r.At), 0)}
	spent, beyond := r.spent(j.Team)
	left := spent.For - v.Age
	pace, known := r.pace(j.Queue)
	switch {
	case j.Deferred:
		v.Cause = Deferred
		return v
	case !beyond || left <= 0:
		v.Cause = Within
		return v
	case !known:
		v.Cause = Unknown
		return v
	}
	chain := time.Duration(j.Depth) * pace.Step
	v.Useful = usefulFactor * j.objective(chain)
	v.Wait = waitFor(r.Within, r.Cores) - v.Age
	v.Cause = InTime
	if float64(v.Wait+chain) > margin*float64(v.Useful) {
		v.Cause = TooLate
		v.RetryAfter = spread(max(v.Wait+chain-v.Useful, left), j.ID)
	}
	return v
}

// waitFor returns how long the cores take for the work.
func waitFor(work, cores float64) time.Duration {
	const longest = float64(time.Hour)
	if work <= 0 {
		return 0
	}
	return time.Duration(min(work/max(cores, 1)*float64(time.Second), longest))
}

// spread returns a time from d to twice d, evenly by the job's ID, so that the refused do
// not come back together.
func spread(d time.Duration, id string) time.Duration {
	return d + time.Duration(float64(d)*float64(xxhash.Sum64String(id))/math.MaxUint64)
}
