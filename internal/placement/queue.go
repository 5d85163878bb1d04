package placement

import (
	"sort"

	"persimmonbay/internal/fleet"
)

// queue holds the queued jobs of one rank, by team. The team that uses the
// smallest share of its quota goes next.
type queue struct {
	teams map[string][]*Job // in the order of their starts
	names []string
}

func newQueue() *queue { return &queue{teams: make(map[string][]*Job)} }

func (q *queue) add(j *Job) {
	if _, known := q.teams[j.Team]; !known {
		q.names = append(q.names, j.Team)
	}
	q.teams[j.Team] = append(q.teams[j.Team], j)
}

// sort orders each team's jobs: by deadline, those without last, and then by
// age.
func (q *queue) sort() {
	sort.Strings(q.names)
	for _, jobs := range q.teams {
		sort.Slice(jobs, func(a, b int) bool { return earlier(jobs[a], jobs[b]) })
	}
}

func earlier(a, b *Job) bool {
	switch {
	case a.Deadline.IsZero() != b.Deadline.IsZero():
		return b.Deadline.IsZero()
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	case !a.Submitted.Equal(b.Submitted):
		return a.Submitted.Before(b.Submitted)
	}
	return a.ID < b.ID
}

// next takes out the next job, or returns nil when there is none.
func (q *queue) next(teams map[string]Team, used map[string]fleet.Resources) *Job {
	best, least := "", 0.0
	for _, name := range q.names {
		if len(q.teams[name]) == 0 {
			continue
		}
		share := used[name].Share(teams[name].Quota)
		if best == "" || share < least {
			best, least = name, share
		}
	}
	if best == "" {
		return nil
	}
	j := q.teams[best][0]
	q.teams[best] = q.teams[best][1:]
	return j
}
