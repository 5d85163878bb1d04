package replay

import (
	"container/heap"
	"time"
)

// agenda holds what is due, soonest first.
type agenda struct {
	waiting []due
	next    uint64
}

var _ heap.Interface = (*agenda)(nil)

func (a *agenda) add(at time.Duration, do func()) {
	a.next++
	heap.Push(a, due{at: at, order: a.next, do: do})
}

func (a *agenda) pop() due { return heap.Pop(a).(due) }

// Len implements heap.Interface.
func (a *agenda) Len() int { return len(a.waiting) }

// Less implements heap.Interface.
func (a *agenda) Less(i, j int) bool { return a.waiting[i].before(a.waiting[j]) }

// Swap implements heap.Interface.
func (a *agenda) Swap(i, j int) { a.waiting[i], a.waiting[j] = a.waiting[j], a.waiting[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { a.waiting = append(a.waiting, x.(due)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(a.waiting) - 1
	d := a.waiting[last]
	a.waiting[last] = due{}
	a.waiting = a.waiting[:last]
	return d
}
