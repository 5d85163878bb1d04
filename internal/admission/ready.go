package admission

import "container/heap"

// ready is the flows of a class that may start a request, the one with the
// least tag first. Of equal tags the one that has waited longer comes first.
type ready []*flow

var _ heap.Interface = (*ready)(nil)

// unplaced is the place of a flow that is not among the ready ones.
const unplaced = -1

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
	r[i].place, r[j].place = i, j
}

// Push implements heap.Interface.
func (r *ready) Push(x any) {
	f := x.(*flow)
	f.place = len(*r)
	*r = append(*r, f)
}

// Pop implements heap.Interface.
func (r *ready) Pop() any {
	last := len(*r) - 1
	f := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	f.place = unplaced
	return f
}
