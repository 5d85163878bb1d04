package ownership

// maxWeight bounds a weight: more is not what an entry can carry, and would give
// it all pools.
const maxWeight = 4096

// Member is an entry that can own pools.
type Member struct {
	Name   string
	Weight float64 // what it can carry, against others; what is no weight counts as 1
}

func (m Member) weight() float64 {
	if m.Weight > 0 && m.Weight <= maxWeight {
		return m.Weight
	}
	return 1
}
