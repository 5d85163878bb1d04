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
// turn is the turn that the pool has or would get.
func decide(cap, slice, usable Amount, o others, pool string, turn int, d Demand, peak Amount) decision {
	needed, first := d.needed(), o.first == pool
	one := func(r func(Amount) int) (granted, wanted, running int) {
		if r(cap) <= 0 {
			return 0, 0, 0
		}
		in := inputs{
			cap: r(cap), grant: r(usable), others: r(o.granted), othersWanted: r(o.wanted), short: o.short, held: r(o.held), first: first, waited: o.first != "" && !first,
			used: r(d.Used), needed: r(needed), peak: r(peak), slice: r(slice),
		}
		granted = in.target()
		return granted, in.wanted(granted), in.running(min(granted, r(usable)))
	}
	out := decision{hold: first, asked: o.short > 0 || o.first != "" && !first}
	out.grant.Granted.MilliCPU, out.grant.Wanted.MilliCPU, out.running.MilliCPU = one(func(a Amount) int { return a.MilliCPU })
	out.grant.Granted.MemoryMB, out.grant.Wanted.MemoryMB, out.running.MemoryMB = one(func(a Amount) int { return a.MemoryMB })
	out.grant.Granted.Accelerators, out.grant.Wanted.Accelerators, out.running.Accelerators = one(func(a Amount) int { return a.Accelerators })
	if d.Held != (Amount{}) {
		out.grant.Held, out.grant.Turn = limited(d.Used.Plus(d.Held).Min(cap), cap), turn
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
