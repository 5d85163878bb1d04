package scheduler

import (
	"cmp"
	"time"
)

// rank orders jobs: the lower goes first.
type rank struct {
	class    int     // lasting work first, then by priority; what is late or hopeless last
	work     float64 // what is left, in core-seconds
	accepted time.Time
}

func (r *rank) compare(o *rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.work, o.work), r.accepted.Compare(o.accepted))
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
	if j.weighedAt.IsZero() || now.Sub(j.weighedAt) > weighEvery {
		p.weigh(j, now)
	}
	r := rank{class: j.sub.Priority, work: j.workLeft, accepted: j.sub.AcceptedAt}
	switch end := now.Add(j.chainLeft); {
	case end.After(from.Add(lateFactor * j.allowed)):
		r.class = hopeless
	case end.After(from.Add(j.allowed)):
		r.class += lateClass
	}
	return r
}

// weighEvery is how long what is left of a job is taken for the same although
// what is learned of its queue changes; its own progress counts at once.
const weighEvery = 200 * time.Millisecond

// weigh works out how long the longest chain of what is left of a job takes,
// its work in core-seconds, and the time that its objective allows.
func (p *Pool) weigh(j *job, now time.Time) {
	j.chainLeft, j.workLeft, j.weighedAt = 0, 0, now
	j.allowed = time.Duration(j.sub.Stretch*float64(p.learned.chain(j.sub))) + j.sub.Objective
	step, task := p.learned.step, p.learned.expected
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
			ends[i] += step(j.sub.Queue, s.step.Estimate)
			j.chainLeft = max(j.chainLeft, ends[i])
			j.workLeft += float64(s.left) * task(j.sub.Queue, s.step.Estimate).Seconds() * float64(s.step.Need.MilliCPU) / 1000
		}
	}
}
