package admission

import (
	"container/heap"
	"time"
)

// classQueue is the waiting requests of one class, by team.
type classQueue struct {
	usage
	weight     float64
	tag        float64          // start tag: virtual start time of the class's next request, in seconds
	virtual    float64          // virtual time among the class's teams, in seconds
	flows      map[string]*flow // by team
	waiting    []*flow          // flows with waiting tickets
	waitingSum float64          // sum of the weights of the waiting flows
	ready      ready            // waiting flows that may start a request
	joined     uint64           // how many times a flow joined the waiting ones
	count      int              // waiting tickets
	bytes      int              // sum of the sizes of their bodies
}

// first returns the flow with the least tag among the ready ones, or nil if none
// is ready.
func (q *classQueue) first() *flow {
	if len(q.ready) == 0 {
		return nil
	}
	return q.ready[0]
}

// join adds a flow that has got its first waiting ticket.
func (q *classQueue) join(f *flow) {
	f.tag = max(f.tag, q.virtual)
	q.joined++
	f.joined, f.waitingIndex = q.joined, len(q.waiting)
	q.waiting = append(q.waiting, f)
	q.waitingSum += f.weight
	q.updateReady(f)
}

// leave removes a flow that has lost its last waiting ticket.
func (q *classQueue) leave(f *flow) {
	last := len(q.waiting) - 1
	q.waiting[f.waitingIndex] = q.waiting[last]
	q.waiting[f.waitingIndex].waitingIndex = f.waitingIndex
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	q.waitingSum -= f.weight
	q.updateReady(f)
}

// updateReady adds f to the ready flows, moves it among them or removes it. It
// must be called whenever the flow's tag, inUse, limit or queue has changed.
func (q *classQueue) updateReady(f *flow) {
	belongs := f.count > 0 && f.mayStart()
	switch {
	case f.readyIndex == notReady && belongs:
		heap.Push(&q.ready, f)
	case f.readyIndex != notReady && !belongs:
		heap.Remove(&q.ready, f.readyIndex)
	case belongs:
		heap.Fix(&q.ready, f.readyIndex)
	}
}

// setShares applies new weights of the teams.
func (q *classQueue) setShares(shares *Shares) {
	for team, f := range q.flows {
		f.weight = shares.team(team)
	}
	q.waitingSum = 0
	for _, f := range q.waiting {
		q.waitingSum += f.weight
	}
}

// activeUse is the mean use, in slots, above which a team counts as active in its
// class.
const activeUse = 0.01

// divide divides the class's limit among its teams.
func (q *classQueue) divide(elapsed time.Duration) {
	weights := 0.0
	for _, f := range q.flows {
		f.sample(f.count)
		f.measure(elapsed)
		if f.mean > activeUse {
			weights += f.weight
		}
	}
	sum := 0.0
	for _, f := range q.flows {
		f.reserve(q.share(f, weights))
		sum += f.reserved
	}
	for _, f := range q.flows {
		f.bound(q.share(f, weights), q.limit, sum)
	}
	for _, f := range q.waiting {
		q.updateReady(f)
	}
}

// share returns how many of the class's slots a team is guaranteed. weights is the
// sum of the weights of the active teams.
func (q *classQueue) share(f *flow, weights float64) float64 {
	return q.limit * f.weight / max(weights, f.weight)
}

// charge advances the tag of f by cost seconds of work.
func (q *classQueue) charge(f *flow, cost float64) {
	start := max(f.tag, q.virtual)
	q.virtual = start
	f.tag = start + cost/f.weight
}

// waitingWeight returns the sum of the weights of the teams that wait, with f
// counted as one of them.
func (q *classQueue) waitingWeight(f *flow) float64 {
	if f.count == 0 {
		return q.waitingSum + f.weight
	}
	return q.waitingSum
}
