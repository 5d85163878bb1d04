package scheduler

import (
	"cmp"
	"time"
)

// rank is the position of a job in the order of starts: the lowest goes first.
type rank struct {
	beyond        bool    // what a team sends beyond its weight goes after all else
	class         int     // long-running jobs first, then by priority; those that miss their objective last
	excess        int     // by how much the team is above its share
	remainingWork float64 // in core-seconds
	teamPriority  int
	accepted      time.Time
}

func (r *rank) compare(o *rank) int {
	if r.beyond != o.beyond {
		if o.beyond {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.excess, o.excess), cmp.Compare(r.remainingWork, o.remainingWork),
		cmp.Compare(r.teamPriority, o.teamPriority), r.accepted.Compare(o.accepted))
}

const (
	// lateFactor is how many times its objective a job may take and still be of some
	// use to its caller.
	lateFactor = 3
	// lateClass is added to the class of jobs that will miss their objective: they go
	// after all jobs that can still meet it.
	lateClass = 1 << 10
	// veryLateClass is the class of jobs that will take more than lateFactor times
	// their objective: they end too late to be of use.
	veryLateClass = 1 << 20
)

// rank returns the position of a job. Of the jobs that can still meet their objective,
// the one with the least remaining work goes first, so that as many as possible meet it.
func (p *Pool) rank(j *job, now time.Time) rank {
	if j.lasting {
		return rank{class: -1, accepted: j.rank.accepted}
	}
	if j.estimatedAt.IsZero() || now.Sub(j.estimatedAt) > estimateMaxAge {
		p.estimateRemaining(j, now)
	}
	r := rank{class: j.priority, remainingWork: j.remainingWork, accepted: j.rank.accepted}
	switch end := now.Add(j.remainingChain); {
	case end.After(j.countsFrom.Add(lateFactor * j.objectiveTime)):
		r.class, r.remainingWork = veryLateClass, 0 // in the order of their acceptance, so that none starves
	case end.After(j.countsFrom.Add(j.objectiveTime)):
		r.class += lateClass
	}
	return r
}

// estimateMaxAge is how long the estimate of a job's remaining work is reused although
// the mean durations of its queue change. Progress of the job itself invalidates the
// estimate at once.
const estimateMaxAge = 200 * time.Millisecond

// estimateRemaining computes how long the longest chain of a job's incomplete steps
// takes, the remaining work in core-seconds, and the time that the job's objective
// allows.
func (p *Pool) estimateRemaining(j *job, now time.Time) {
	j.remainingChain, j.remainingWork, j.estimatedAt = 0, 0, now
	d := p.durations.of(j.sub.Queue)
	j.objectiveTime = time.Duration(j.sub.Stretch*float64(d.longestChain(j.sub, &p.chainEnds))) + j.sub.Objective
	for _, o := range j.occurrences {
		ends := p.chainEnds[:0]
		for _, s := range o.stages {
			var end time.Duration
			for _, before := range s.step.After {
				if before < len(ends) {
					end = max(end, ends[before])
				}
			}
			if s.incomplete > 0 {
				end += d.expectedStep(s.step.Estimate)
				j.remainingChain = max(j.remainingChain, end)
				j.remainingWork += float64(s.incomplete) * d.expectedTask(s.step.Estimate).Seconds() * float64(s.step.Need.MilliCPU) / 1000
			}
			ends = append(ends, end)
		}
		p.chainEnds = ends
	}
}
