package placement

import "persimmonbay/internal/fleet"

// rank is the priority of a job: a job preempts only jobs of a lower rank.
type rank uint8

// rankDeadline is the rank of jobs whose deadline is near. All lower ranks are
// those of the classes.
const rankDeadline = rank(fleet.ClassCount)

// rankOf returns the rank of j at the time of the plan. It rises once the
// deadline is near and does not fall as time passes.
func (p *planner) rankOf(j *Job) rank {
	if !j.Deadline.IsZero() && !p.snapshot.Now.Before(p.latestStart(j)) {
		return rankDeadline
	}
	return rank(j.Class)
}
