package maintenance

import "slices"

// borrow lends a spare instance to each pool that has work to do and no
// instance to miss, one at a time.
func (p *planner) borrow(due []Record) {
	asked := make(map[string]bool)
	for _, r := range due {
		t := p.tallies[r.Home]
		if t.Spare || p.s.budget(r.Home).workers() || asked[r.Home] || t.Free() > 0 || p.underway(r.Home) || !p.short(r.Home, t) {
			continue
		}
		asked[r.Home] = true
		if spare, found := p.idleSpare(); found {
			p.reserve(Reservation{Instance: spare.Instance, Pool: spare.Pool, Kind: ForLoan, Target: r.Home, Wave: p.s.Wave.ID, Since: p.s.Now})
		}
	}
}

// short reports whether the pool cannot do without a loan: its budget allows
// none away, or an instance is missing for long. A failure of seconds moves
// nothing.
func (p *planner) short(pool string, t Tally) bool {
	if p.s.budget(pool).Allowed(t.Home) == 0 {
		return true
	}
	for _, r := range p.s.Records {
		if r.Home == pool && p.goneFor(r) > p.policy.LendAfter {
			return true
		}
	}
	return false
}

// underway reports whether the pool has an instance away that is expected
// back, or a loan on its way. What this very plan releases still counts: the
// tallies do not show it back yet.
func (p *planner) underway(pool string) bool {
	for _, v := range slices.Concat(p.s.Disruptions.Reservations, p.disruptions.Reservations) {
		expected := v.Kind == ForReboot && v.Pool == pool && !p.policy.lost(p.s.Records[v.Instance], p.s.Now)
		if expected || v.Kind == ForLoan && v.Target == pool {
			return true
		}
	}
	return false
}

// idleSpare returns a spare instance that may be lent. One that the wave has
// yet to reboot is not lent.
func (p *planner) idleSpare() (Record, bool) {
	for _, id := range sortedIDs(p.s.Records) {
		r := p.s.Records[id]
		_, reserved := p.disruptions.Find(id)
		if reserved || r.Phase != Serving || r.Lent() || !p.tallies[r.Pool].Spare || !p.s.live(id) {
			continue
		}
		if !p.s.Wave.Covers(r) || r.Maintained == p.s.Wave.ID {
			return r, true
		}
	}
	return Record{}, false
}

// giveBack returns lent instances to their own pool once the pool that
// borrowed them can do without and has nothing left to do.
func (p *planner) giveBack() {
	for _, id := range sortedIDs(p.s.Records) {
		r := p.s.Records[id]
		if _, reserved := p.disruptions.Find(id); reserved || r.Phase != Serving || !r.Lent() {
			continue
		}
		if p.tallies[r.Pool].Free() > 0 && !p.needsLoan(r.Pool) {
			p.reserve(Reservation{Instance: id, Pool: r.Pool, Kind: ForLoan, Target: r.Home, Wave: p.s.Wave.ID, Since: p.s.Now})
		}
	}
}

// needsLoan reports whether the open wave has yet to reboot an instance of the
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
