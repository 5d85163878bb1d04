package ownership

// maxWeight is the largest valid weight. A larger one exceeds the capacity of any
// entry and would give the member all pools.
const maxWeight = 4096

// Member is an entry that can own pools.
type Member struct {
	Name   string
	Weight float64 // relative capacity; an invalid weight counts as 1
}

// weight returns Weight, or 1 if it is not in (0, maxWeight].
func (m Member) weight() float64 {
	if m.Weight > 0 && m.Weight <= maxWeight {
		return m.Weight
	}
	return 1
}
