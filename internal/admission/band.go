package admission

// band is the waiting work of one class.
type band struct {
	weight  float64
	tag     float64 // virtual start time of the class's next request, in seconds
	virtual float64 // virtual time among the class's teams
	flows   map[string]*flow
	waiting []*flow // flows with waiting tickets
	count   int
	bytes   int
}

// first returns the waiting flow with the least tag.
func (b *band) first() *flow {
	least := b.waiting[0]
	for _, f := range b.waiting[1:] {
		if f.tag < least.tag {
			least = f
		}
	}
	return least
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
