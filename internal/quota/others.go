package quota

// others sums up what an account says of the pools beside one.
type others struct {
	granted Amount
	wanted  Amount // granted or wanted, whichever is more, without the pool whose turn it is
	short   int    // pools that want more than they were granted, without that one
	first   string // the pool whose turn it is; empty: there is none
	held    Amount // for it
}

// othersOf returns what the account says of the pools beside the given one.
func (a Account) othersOf(pool string) others {
	o := others{first: a.first()}
	o.held = a.Pools[o.first].Held
	for name, g := range a.Pools {
		if name == pool {
			continue
		}
		o.granted = o.granted.Plus(g.Granted)
		if name == o.first {
			continue
		}
		o.wanted = o.wanted.Plus(g.Granted.Max(g.Wanted))
		if g.short() {
			o.short++
		}
	}
	return o
}
