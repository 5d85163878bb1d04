package replay

import (
	"container/heap"
	"time"
)

// eventQueue holds the scheduled events as a heap, earliest first.
type eventQueue struct {
	pending   []event
	lastOrder uint64
}

var _ heap.Interface = (*eventQueue)(nil)

func (q *eventQueue) schedule(at time.Duration, do func()) {
	q.lastOrder++
	heap.Push(q, event{at: at, order: q.lastOrder, do: do})
}

func (q *eventQueue) pop() event { return heap.Pop(q).(event) }

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.pending) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool { return q.pending[i].before(q.pending[j]) }

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.pending[i], q.pending[j] = q.pending[j], q.pending[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.pending = append(q.pending, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.pending) - 1
	e := q.pending[last]
	q.pending[last] = event{}
	q.pending = q.pending[:last]
	return e
}
