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
	if j.sub.LongRunning() {
		return rank{class: -1, accepted: j.sub.AcceptedAt}
	}
	from := Later(j.sub.AcceptedAt, j.sub.DueAt(max(len(j.occurrences)-1, 0)))
	if j.estimatedAt.IsZero() || now.Sub(j.estimatedAt) > estimateMaxAge {
		p.estimateRemaining(j, now)
	}
	r := rank{class: j.sub.Priority, remainingWork: j.remainingWork, accepted: j.sub.AcceptedAt}
	switch end := now.Add(j.remainingChain); {
	case end.After(from.Add(lateFactor * j.objectiveTime)):
		r.class, r.remainingWork = veryLateClass, 0 // in the order of their acceptance, so that none starves
	case end.After(from.Add(j.objectiveTime)):
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
	j.objectiveTime = time.Duration(j.sub.Stretch*float64(p.durations.longestChain(j.sub))) + j.sub.Objective
	expectedStep, expectedTask := p.durations.expectedStep, p.durations.expectedTask
	for _, o := range j.occurrences {
		ends := make([]time.Duration, len(o.stages))
		for i, s := range o.stages {
			var begin time.Duration
			for _, before := range s.step.After {
				begin = max(begin, ends[before])
			}
			ends[i] = begin
			if s.incomplete == 0 {
				continue
			}
			ends[i] += expectedStep(j.sub.Queue, s.step.Estimate)
			j.remainingChain = max(j.remainingChain, ends[i])
			j.remainingWork += float64(s.incomplete) * expectedTask(j.sub.Queue, s.step.Estimate).Seconds() * float64(s.step.Need.MilliCPU) / 1000
		}
	}
}
