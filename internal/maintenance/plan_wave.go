package maintenance

import "sort"

// continueWave reserves the next instances of a running wave and ends it when
// all are done. Loans are given back whatever the wave's state.
func (p *planner) continueWave() {
	w := p.s.Wave
	p.giveBack()
	if w.State != WaveRunning {
		return
	}
	due := p.due(w)
	if len(due) == 0 {
		p.finish(w)
		return
	}
	if p.s.fleetBlocker(p.policy) != "" {
		return
	}
	p.take(w, due)
	if p.awayFor(w) < w.limit() {
		p.borrow(due)
	}
}

// take reserves what the budgets, the wave and its pace leave room for.
func (p *planner) take(w Wave, due []Record) {
	room := min(w.limit()-p.awayFor(w), p.startsLeft(w))
	for _, r := range due {
		if room > 0 && p.takes(w, r) {
			p.reserve(Reservation{Instance: r.Instance, Pool: r.Pool, Kind: ForReboot, Wave: w.ID, Since: p.s.Now})
			room--
		}
	}
}

// startsLeft returns how many instances the wave may still take in this window.
func (p *planner) startsLeft(w Wave) int {
	if p.policy.StartLimit == 0 {
		return w.limit()
	}
	left := p.policy.StartLimit
	for _, v := range p.disruptions.Reservations {
		if v.Kind == ForReboot && v.Wave == w.ID && p.s.Now.Sub(v.Since) < p.policy.StartWindow {
			left--
		}
	}
	return left
}

// limit is how many instances may be away for the wave at a time.
func (w Wave) limit() int {
	if w.Strategy == OneAtATime {
		return 1
	}
	return w.AtOnce
}

// due returns the instances that the wave has yet to take, in its order.
// Spares come first, so that they can stand in for others afterwards.
func (p *planner) due(w Wave) []Record {
	group, grouped := p.openGroup(w)
	var due []Record
	for _, r := range p.s.Records {
		if !w.Covers(r) || r.Maintained == w.ID || p.policy.lost(r, p.s.Now) {
			continue
		}
		if grouped && p.groupOf(w, r) != group {
			continue
		}
		due = append(due, r)
	}
	sort.Slice(due, func(i, j int) bool { return p.before(due[i], due[j]) })
	return due
}

func (p *planner) before(a, b Record) bool {
	if spareA, spareB := p.tallies[a.Home].Spare, p.tallies[b.Home].Spare; spareA != spareB {
		return spareA
	}
	zoneA, zoneB := p.s.Listed[a.Instance].AvailabilityZone, p.s.Listed[b.Instance].AvailabilityZone
	if zoneA != zoneB {
		return zoneA < zoneB
	}
	return a.Instance < b.Instance
}

// takes reports whether the wave may reserve r now.
func (p *planner) takes(_ Wave, r Record) bool {
	if _, reserved := p.disruptions.Find(r.Instance); reserved || r.Phase != Serving || r.Lent() {
		return false
	}
	return p.s.live(r.Instance) && p.tallies[r.Pool].Free() > 0
}

// awayFor counts the instances reserved for the wave that may still come back.
func (p *planner) awayFor(w Wave) int {
	away := 0
	for _, v := range p.disruptions.Reservations {
		if v.Kind == ForReboot && v.Wave == w.ID && !p.policy.lost(p.s.Records[v.Instance], p.s.Now) {
			away++
		}
	}
	return away
}

// finish ends the wave once everything it covers is done or lost.
func (p *planner) finish(w Wave) {
	w.State, w.Finished = WaveDone, p.s.Now
	p.changes.Wave = &w
}
