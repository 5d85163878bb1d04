package quota

// decision is what a pool's grant for a team should be, and what the pool may have running
// for the team until the account shows that.
type decision struct {
	grant   Grant
	running Amount
	hold    bool // it is the pool's turn
	asked   bool // another pool is short
}

// decide decides for all resources that the cap limits. Of the others nothing is granted.
func decide(cap, slice, usable Amount, a Account, pool string, d Demand, peak Amount) decision {
	others := a.Others(pool)
	first := a.first()
	othersWanted, short := a.othersWanted(pool, first)
	needed := d.needed()
	var held Amount
	if first != pool {
		held = a.Pools[first].Held
	}
	one := func(r func(Amount) int) (granted, wanted, running int) {
		if r(cap) <= 0 {
			return 0, 0, 0
		}
		in := inputs{
			cap: r(cap), grant: r(usable), others: r(others), othersWanted: r(othersWanted), short: short, held: r(held), first: first == pool, waited: first != "" && first != pool,
			used: r(d.Used), needed: r(needed), peak: r(peak), slice: r(slice),
		}
		granted = in.target()
		return granted, in.wanted(granted), in.running(min(granted, r(usable)))
	}
	out := decision{hold: first == pool, asked: short > 0 || first != "" && first != pool}
	out.grant.Granted.MilliCPU, out.grant.Wanted.MilliCPU, out.running.MilliCPU = one(func(a Amount) int { return a.MilliCPU })
	out.grant.Granted.MemoryMB, out.grant.Wanted.MemoryMB, out.running.MemoryMB = one(func(a Amount) int { return a.MemoryMB })
	out.grant.Granted.Accelerators, out.grant.Wanted.Accelerators, out.running.Accelerators = one(func(a Amount) int { return a.Accelerators })
	if d.Held != (Amount{}) {
		out.grant.Held, out.grant.Turn = limited(d.Used.Plus(d.Held).Min(cap), cap), a.turn(pool)
	}
	return out
}

// limited returns the part of an amount in resources that the cap limits.
func limited(a, cap Amount) Amount {
	return combine(a, cap, func(x, limit int) int {
		if limit <= 0 {
			return 0
		}
		return x
	})
}
