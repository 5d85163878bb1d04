package maintenance

import "slices"

// assign assigns instances without a record to the pool of their service or to
// that of the workers. The order takes one instance of each pool in turn, so
// that every pool soon has one.
func (p *planner) assign() {
	rounds := make([][]Record, 0)
	assigned := make(map[string]int) // number of instances handled, by pool
	for _, id := range sortedIDs(p.s.Listed) {
		instance := p.s.Listed[id]
		if _, known := p.s.Records[id]; known {
			continue
		}
		pool, configured := p.s.poolOf(instance)
		if !configured {
			continue
		}
		round := assigned[pool]
		assigned[pool]++
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], Record{Instance: id, Pool: pool, Home: pool, Phase: Serving, Since: p.s.Now, Joined: p.s.Now})
	}
	for _, r := range slices.Concat(rounds...) {
		p.write(r)
	}
}

// deleteGone deletes the record of an instance that has been absent from the
// list for longer than DeleteAfter.
func (p *planner) deleteGone(r Record) {
	if _, listed := p.s.Listed[r.Instance]; listed || p.absentFor(r) <= p.policy.DeleteAfter {
		return
	}
	p.changes.Deleted = append(p.changes.Deleted, r)
	p.written[r.Instance] = true
	if _, reserved := p.s.Disruptions.Find(r.Instance); reserved {
		p.release(r.Instance)
	}
}

// observe records that an instance has become live or has ceased to be, and
// reserves the return of an instance that is out of service without a
// reservation.
func (p *planner) observe(r Record) {
	if p.written[r.Instance] {
		return
	}
	_, reserved := p.s.Disruptions.Find(r.Instance)
	live := p.s.live(r.Instance)
	switch {
	case r.Phase != Serving && !reserved:
		p.reserve(Reservation{Instance: r.Instance, Pool: r.Pool, Kind: ForReturn, Since: p.s.Now})
	case r.Phase == Rebooting:
		return // Since is the start of its absence
	case live && r.Missing():
		r.MissingSince = zeroTime
		p.write(r)
	case !live && !r.Missing():
		r.MissingSince = p.s.Now
		p.write(r)
	}
}
