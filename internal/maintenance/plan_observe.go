package maintenance

import "slices"

// assign gives instances without a record the pool of their service, or that
// of the workers: first one instance of each pool, so that every pool soon has
// one.
func (p *planner) assign() {
	byTurn := make([][]Record, 0)
	turns := make(map[string]int) // instances so far, by pool
	for _, id := range sortedIDs(p.s.Listed) {
		instance := p.s.Listed[id]
		if _, known := p.s.Records[id]; known {
			continue
		}
		pool, configured := p.s.poolOf(instance)
		if !configured {
			continue
		}
		turn := turns[pool]
		turns[pool]++
		if turn == len(byTurn) {
			byTurn = append(byTurn, nil)
		}
		byTurn[turn] = append(byTurn[turn], Record{Instance: id, Pool: pool, Home: pool, Phase: Serving, Since: p.s.Now, Joined: p.s.Now})
	}
	for _, r := range slices.Concat(byTurn...) {
		p.write(r)
	}
}

// forget drops the record of an instance that is gone from the list for long.
func (p *planner) forget(r Record) {
	if _, listed := p.s.Listed[r.Instance]; listed || p.goneFor(r) <= p.policy.ForgetAfter {
		return
	}
	p.changes.Forgotten = append(p.changes.Forgotten, r)
	p.written[r.Instance] = true
	if _, reserved := p.s.Disruptions.Find(r.Instance); reserved {
		p.release(r.Instance)
	}
}

// observe notes that an instance has gone from the list or come back, and
// brings back one that is out of service without a reservation.
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
		return // Since tells how long it is away
	case live && r.Missing():
		r.MissingSince = zeroTime
		p.write(r)
	case !live && !r.Missing():
		r.MissingSince = p.s.Now
		p.write(r)
	}
}
