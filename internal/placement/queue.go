package placement

import "sort"

// queue holds the queued jobs of one rank, by team. The next job is one of the
// team that uses the smallest share of its quota.
type queue struct {
	teams map[string]*teamQueue
	order []*teamQueue // ordered by team name after sort
}

func newQueue() *queue { return &queue{teams: make(map[string]*teamQueue)} }

func (q *queue) add(j *Job) {
	t, known := q.teams[j.Team]
	if !known {
		t = &teamQueue{team: j.Team}
		q.teams[j.Team], q.order = t, append(q.order, t)
	}
	t.jobs = append(t.jobs, j)
}

// sort orders the teams by name, and each team's jobs by deadline, those without
// a deadline last, and then by submission. share returns the used share of a
// team's quota.
func (q *queue) sort(share func(team string) float64) {
	sort.Slice(q.order, func(a, b int) bool { return q.order[a].team < q.order[b].team })
	for _, t := range q.order {
		t.share = share(t.team)
		sort.Slice(t.jobs, func(a, b int) bool { return earlier(t.jobs[a], t.jobs[b]) })
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

// next removes the next job and returns it with its team's queue, or nil when the
// queue is empty.
func (q *queue) next() (*Job, *teamQueue) {
	var best *teamQueue
	for _, t := range q.order {
		if len(t.jobs) > 0 && (best == nil || t.share < best.share) {
			best = t
		}
	}
	if best == nil {
		return nil, nil
	}
	j := best.jobs[0]
	best.jobs = best.jobs[1:]
	return j, best
}
