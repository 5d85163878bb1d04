package maintenance

import "slices"

// reserveLoans reserves a spare instance for each pool that has instances due,
// can spare none and lacks an instance (see lacksInstance). Each pool has at
// most one loan under way.
func (p *planner) reserveLoans(due []Record) {
	seen := make(map[string]bool)
	for _, r := range due {
		t := p.poolCounts[r.Home]
		if t.Spare || p.s.budget(r.Home).workers() || seen[r.Home] || t.Free() > 0 || p.expectsInstance(r.Home) || !p.lacksInstance(r.Home, t) {
			continue
		}
		seen[r.Home] = true
		if spare, found := p.idleSpare(); found {
			p.reserve(Reservation{Instance: spare.Instance, Pool: spare.Pool, Kind: ForLoan, Target: r.Home, Wave: p.s.Wave.ID, Since: p.s.Now})
		}
	}
}

// lacksInstance reports whether the pool needs a loan: its budget never allows
// an instance to be unavailable, or one has been missing for longer than
// LendAfter. Failures of a few seconds move no instance.
func (p *planner) lacksInstance(pool string, t PoolCount) bool {
	if p.s.budget(pool).Allowed(t.Home) == 0 {
		return true
	}
	for _, r := range p.s.Records {
		if r.Home == pool && p.absentFor(r) > p.policy.LendAfter {
			return true
		}
	}
	return false
}

// expectsInstance reports whether an instance of the pool is expected back from
// a reboot, or a loan to the pool is under way. Reservations that this plan
// releases still count, since poolCounts don't include their instances yet.
func (p *planner) expectsInstance(pool string) bool {
	for _, v := range slices.Concat(p.s.Disruptions.Reservations, p.disruptions.Reservations) {
		expected := v.Kind == ForReboot && v.Pool == pool && !p.policy.lost(p.s.Records[v.Instance], p.s.Now)
		if expected || v.Kind == ForLoan && v.Target == pool {
			return true
		}
	}
	return false
}

// idleSpare returns a spare instance that may be lent. Spares that the wave has
// yet to reboot are not lent.
func (p *planner) idleSpare() (Record, bool) {
	for _, id := range sortedIDs(p.s.Records) {
		r := p.s.Records[id]
		_, reserved := p.disruptions.Find(id)
		if reserved || r.Phase != Serving || r.Lent() || !p.poolCounts[r.Pool].Spare || !p.s.live(id) {
			continue
		}
		if !p.s.Wave.Covers(r) || r.Maintained == p.s.Wave.ID {
			return r, true
		}
	}
	return Record{}, false
}

// returnLoans returns lent instances to their own pool once the borrowing
// pool's budget allows one to leave and the wave needs to reboot nothing more
// of it.
func (p *planner) returnLoans() {
	for _, id := range sortedIDs(p.s.Records) {
		r := p.s.Records[id]
		if _, reserved := p.disruptions.Find(id); reserved || r.Phase != Serving || !r.Lent() {
			continue
		}
		if p.poolCounts[r.Pool].Free() > 0 && !p.needsLoan(r.Pool) {
			p.reserve(Reservation{Instance: id, Pool: r.Pool, Kind: ForLoan, Target: r.Home, Wave: p.s.Wave.ID, Since: p.s.Now})
		}
	}
}

// needsLoan reports whether an open wave has yet to reboot an instance of the
// pool.
func (p *planner) needsLoan(pool string) bool {
	w := p.s.Wave
	if !w.Open() {
		return false
	}
	for _, r := range p.s.Records {
		if r.Home == pool && w.Covers(r) && r.Maintained != w.ID && !r.Missing() && !p.policy.lost(r, p.s.Now) {
			return true
		}
	}
	return false
}
