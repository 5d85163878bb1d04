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

// Others returns what all pools but the given one were granted.
func (a Account) Others(pool string) Amount {
	var sum Amount
	for name, g := range a.Pools {
		if name != pool {
			sum = sum.Plus(g.Granted)
		}
	}
	return sum
}

// othersWanted returns what all pools but the given one were granted or want, whichever is
// more, and how many of them are short.
func (a Account) othersWanted(pool string) (wanted Amount, short int) {
	for name, g := range a.Pools {
		if name == pool {
			continue
		}
		wanted = wanted.Plus(g.Granted.Max(g.Wanted))
		if g.short() {
			short++
		}
	}
	return wanted, short
}
