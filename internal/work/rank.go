package work

import "time"

// rank orders jobs: the lower goes first.
type rank struct {
	class    int // lasting work first, then by priority; what is hopeless last
	deadline time.Time
}

func (r rank) before(o rank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	return r.deadline.Before(o.deadline)
}

// lateFactor is how many times its objective a job may take and still be of
// some worth to its caller.
const lateFactor = 3

// hopeless is the class of jobs that can no longer be of worth in time.
const hopeless = 1 << 20

// rank places a job among the others.
func (p *Pool) rank(j *job, now time.Time) rank {
	if j.sub.LongRunning() {
		return rank{class: -1, deadline: j.sub.AcceptedAt}
	}
	from := j.sub.AcceptedAt
	if k := len(j.occurrences) - 1; k > 0 {
		from = j.sub.DueAt(k)
	}
	allowed := time.Duration(j.sub.Stretch*float64(j.chain.whole)) + j.sub.Objective
	r := rank{class: j.sub.Priority, deadline: from.Add(allowed)}
	switch {
	case now.After(from.Add(lateFactor * allowed)):
		r.class = hopeless
	case now.After(r.deadline):
		r.class += lateClass
	}
	return r
}

// lateClass is added for jobs past their objective: they go after all that can
// still make it.
const lateClass = 1 << 10
