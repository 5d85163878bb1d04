package admission

import (
	"container/heap"
	"time"
)

// band is the waiting work of one class.
type band struct {
	usage
	weight  float64
	tag     float64 // virtual start time of the class's next request, in seconds
	virtual float64 // virtual time among the class's teams
	flows   map[string]*flow
	waiting []*flow // flows with waiting tickets
	heavy   float64 // sum of their weights
	ready   ready   // those of them that may start a request
	joined  uint64  // how many times a flow began to wait
	count   int
	bytes   int
}

// first returns the waiting flow with the least tag of those that may start,
// or nil.
func (b *band) first() *flow {
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[0]
}

// join adds a flow whose first ticket has come.
func (b *band) join(f *flow) {
	f.tag = max(f.tag, b.virtual)
	b.joined++
	f.joined, f.index = b.joined, len(b.waiting)
	b.waiting = append(b.waiting, f)
	b.heavy += f.weight
	b.settle(f)
}

// leave drops a flow whose last ticket has gone.
func (b *band) leave(f *flow) {
	last := len(b.waiting) - 1
	b.waiting[f.index] = b.waiting[last]
	b.waiting[f.index].index = f.index
	b.waiting[last] = nil
	b.waiting = b.waiting[:last]
	b.heavy -= f.weight
	b.settle(f)
}

// settle puts f where it belongs among the flows that may start a request. It
// must be called when its tag, its use, its limit or its queue has changed.
func (b *band) settle(f *flow) {
	belongs := f.count > 0 && f.mayStart()
	switch {
	case f.place == unplaced && belongs:
		heap.Push(&b.ready, f)
	case f.place != unplaced && !belongs:
		heap.Remove(&b.ready, f.place)
	case belongs:
		heap.Fix(&b.ready, f.place)
	}
}

// reweigh puts other weights of the teams in force.
func (b *band) reweigh(shares *Shares) {
	for team, f := range b.flows {
		f.weight = shares.team(team)
	}
	b.heavy = 0
	for _, f := range b.waiting {
		b.heavy += f.weight
	}
}

// activeUse is the mean use from which on a team counts as present in its class.
const activeUse = 0.01

// divide shares the class's limit among its teams.
func (b *band) divide(elapsed time.Duration) {
	weights := 0.0
	for _, f := range b.flows {
		f.sample(f.count)
		f.measure(elapsed)
		if f.mean > activeUse {
			weights += f.weight
		}
	}
	sum := 0.0
	for _, f := range b.flows {
		f.reserve(b.share(f, weights))
		sum += f.reserved
	}
	for _, f := range b.flows {
		f.bound(b.share(f, weights), b.limit, sum)
	}
	for _, f := range b.waiting {
		b.settle(f)
	}
}

// share is how many of the class's slots a team is guaranteed.
func (b *band) share(f *flow, weights float64) float64 {
	return b.limit * f.weight / max(weights, f.weight)
}

// charge moves the class's team f on by cost seconds of work.
func (b *band) charge(f *flow, cost float64) {
	start := max(f.tag, b.virtual)
	b.virtual = start
	f.tag = start + cost/f.weight
}

// waitingWeight is the weight of the teams that wait, f among them.
func (b *band) waitingWeight(f *flow) float64 {
	if f.count == 0 {
		return b.heavy + f.weight
	}
	return b.heavy
}
