package placement

import "persimmonbay/internal/fleet"

// rank orders jobs by what may take room from what: a job takes it from those
// of a lower rank only.
type rank uint8

// The ranks are those of the classes, and one for jobs whose deadline is near.
const rankDue = rank(fleet.ClassCount)

// rankOf returns the rank of j now. It only ever rises.
func (p *planner) rankOf(j *Job) rank {
	if !j.Deadline.IsZero() && !p.s.Now.Before(p.latestStart(j)) {
		return rankDue
	}
	return rank(j.Class)
}
