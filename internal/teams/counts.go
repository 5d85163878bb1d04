package teams

// Counts are the totals of one team in one pool.
type Counts struct {
	Within  uint64  // jobs accepted within the weight
	Beyond  uint64  // jobs accepted beyond it
	Given   float64 // work that was started, in machine-seconds
	Waiting float64 // work that waited for room at the last plan, in machine-seconds
	Excess  int     // as Order.Excess returned it at the last plan
}

// plus returns the sum of c and o.
func (c Counts) plus(o Counts) Counts {
	return Counts{
		Within: c.Within + o.Within, Beyond: c.Beyond + o.Beyond, Given: c.Given + o.Given,
		Waiting: c.Waiting + o.Waiting, Excess: max(c.Excess, o.Excess),
	}
}
