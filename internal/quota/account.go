package quota

import "maps"

// Account holds what each pool was granted for one team, by service. It is immutable.
type Account struct {
	Pools map[string]Grant
}

// With returns the account with another grant for a pool. An empty grant is removed.
func (a Account) With(pool string, g Grant) Account {
	next := maps.Clone(a.Pools)
	if next == nil {
		next = make(map[string]Grant)
	}
	if delete(next, pool); !g.empty() {
		next[pool] = g
	}
	return Account{Pools: next}
}

// first returns the pool whose turn it is among those that need room for what has waited
// long; empty: there is none.
func (a Account) first() string {
	first := ""
	for name, g := range a.Pools {
		if !g.holds() {
			continue
		}
		if f := a.Pools[first]; first == "" || g.Turn < f.Turn || g.Turn == f.Turn && name < first {
			first = name
		}
	}
	return first
}

// turn returns the turn of a pool: the one that it has, or else the last.
func (a Account) turn(pool string) int {
	if g := a.Pools[pool]; g.holds() {
		return g.Turn
	}
	last := 0
	for _, g := range a.Pools {
		last = max(last, g.Turn)
	}
	return last + 1
}
