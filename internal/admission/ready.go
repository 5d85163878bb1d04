package admission

import "container/heap"

// ready is a heap of the flows of a class that may start a request, the one with
// the least tag first. Among equal tags the flow that joined first precedes.
type ready []*flow

var _ heap.Interface = (*ready)(nil)

// notReady is the readyIndex of a flow that is not in the heap.
const notReady = -1

// Len implements heap.Interface.
func (r ready) Len() int { return len(r) }

// Less implements heap.Interface.
func (r ready) Less(i, j int) bool {
	if r[i].tag != r[j].tag {
		return r[i].tag < r[j].tag
	}
	return r[i].joined < r[j].joined
}

// Swap implements heap.Interface.
func (r ready) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].readyIndex, r[j].readyIndex = i, j
}

// Push implements heap.Interface.
func (r *ready) Push(x any) {
	f := x.(*flow)
	f.readyIndex = len(*r)
	*r = append(*r, f)
}

// Pop implements heap.Interface.
func (r *ready) Pop() any {
	last := len(*r) - 1
	f := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	f.readyIndex = notReady
	return f
}
