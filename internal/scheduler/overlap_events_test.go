package scheduler_test

// overlapEvents is a heap of the pending events, the next one first.
type overlapEvents []overlapEvent

func (q overlapEvents) Len() int { return len(q) }

func (q overlapEvents) Less(a, b int) bool {
	if q[a].at.Equal(q[b].at) {
		return q[a].sequence < q[b].sequence
	}
	return q[a].at.Before(q[b].at)
}

func (q overlapEvents) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *overlapEvents) Push(e any) { *q = append(*q, e.(overlapEvent)) }

func (q *overlapEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
