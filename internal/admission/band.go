package admission

import "time"

// band is the waiting work of one class.
type band struct {
	usage
	weight  float64
	tag     float64 // virtual start time of the class's next request, in seconds
	virtual float64 // virtual time among the class's teams
	flows   map[string]*flow
	waiting []*flow // flows with waiting tickets
	count   int
	bytes   int
}

// first returns the waiting flow with the least tag of those that may start,
// or nil.
func (b *band) first() *flow {
	var least *flow
	for _, f := range b.waiting {
		if f.mayStart() && (least == nil || f.tag < least.tag) {
			least = f
		}
	}
	return least
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

func (b *band) idle(f *flow) {
	for i := range b.waiting {
		if b.waiting[i] == f {
			last := len(b.waiting) - 1
			b.waiting[i] = b.waiting[last]
			b.waiting[last] = nil
			b.waiting = b.waiting[:last]
			return
		}
	}
}

// waitingWeight is the weight of the teams that wait, f among them.
func (b *band) waitingWeight(f *flow) float64 {
	sum := 0.0
	for _, other := range b.waiting {
		sum += other.weight
	}
	if f.count == 0 {
		sum += f.weight
	}
	return sum
}
