package work

import "time"

// rank orders jobs: the lower goes first.
type rank struct {
	class    int     // lasting work first, then by priority; what is late or hopeless last
	work     float64 // what is left, in core-seconds
	accepted time.Time
}

func (r rank) before(o rank) bool {
	switch {
	case r.class != o.class:
		return r.class < o.class
	case r.work != o.work:
		return r.work < o.work
	}
	return r.accepted.Before(o.accepted)
}

const (
	// lateFactor is how many times its objective a job may take and still be
	// of some worth to its caller.
	lateFactor = 3
	// lateClass is added for jobs that will miss their objective: they go
	// after all that can still make it.
	lateClass = 1 << 10
	// hopeless is the class of jobs that can no longer be of worth in time.
	hopeless = 1 << 20
)

// rank places a job among the others: of those that can still make their
// objective, the one with the least work left first, so that most make it.
func (p *Pool) rank(j *job, now time.Time) rank {
	if j.sub.LongRunning() {
		return rank{class: -1, accepted: j.sub.AcceptedAt}
	}
	from := j.sub.AcceptedAt
	if k := len(j.occurrences) - 1; k > 0 {
		from = j.sub.DueAt(k)
	}
	left, work := p.remaining(j)
	allowed := time.Duration(j.sub.Stretch*float64(p.learned.chain(j.sub))) + j.sub.Objective
	r := rank{class: j.sub.Priority, work: work, accepted: j.sub.AcceptedAt}
	switch end := now.Add(left); {
	case end.After(from.Add(lateFactor * allowed)):
		r.class = hopeless
	case end.After(from.Add(allowed)):
		r.class += lateClass
	}
	return r
}

// remaining returns how long the longest chain of what is left of a job takes,
// and its work in core-seconds.
func (p *Pool) remaining(j *job) (chain time.Duration, work float64) {
	for _, o := range j.occurrences {
		ends := make([]time.Duration, len(o.stages))
		for i, s := range o.stages {
			var begin time.Duration
			for _, before := range s.step.After {
				begin = max(begin, ends[before])
			}
			ends[i] = begin
			if s.left == 0 {
				continue
			}
			each := p.learned.expected(j.sub.Queue, s.step.Estimate)
			ends[i] += p.learned.step(j.sub.Queue, s.step.Estimate)
			chain = max(chain, ends[i])
			work += float64(s.left) * each.Seconds() * float64(s.step.Need.MilliCPU) / 1000
		}
	}
	return chain, work
}
