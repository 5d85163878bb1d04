package ownership

// Member is an entry that can own pools.
type Member struct {
	Name   string
	Weight float64 // what it can carry, against others; 0 counts as 1
}

func (m Member) weight() float64 {
	if m.Weight <= 0 {
		return 1
	}
	return m.Weight
}
