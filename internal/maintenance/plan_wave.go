package maintenance

import "sort"

// continueWave reserves the next instances of a running wave and ends the wave
// when all are done. Loans are returned in every state of the wave.
func (p *planner) continueWave() {
	w := p.s.Wave
	p.returnLoans()
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
	p.reserveDue(w, due)
	if p.countAway(w) < w.maxAway() {
		p.reserveLoans(due)
	}
}

// reserveDue reserves due instances as the budgets, the wave's limit and its
// start rate allow.
func (p *planner) reserveDue(w Wave, due []Record) {
	room := min(w.maxAway()-p.countAway(w), p.startsLeft(w))
	for _, r := range due {
		if room > 0 && p.canReserve(w, r) {
			p.reserve(Reservation{Instance: r.Instance, Pool: r.Pool, Kind: ForReboot, Wave: w.ID, Since: p.s.Now})
			room--
		}
	}
}

// startsLeft returns how many more instances the wave may reserve now, so that
// it reserves at most StartLimit of them within any StartWindow.
func (p *planner) startsLeft(w Wave) int {
	if p.policy.StartLimit == 0 {
		return w.maxAway()
	}
	left := p.policy.StartLimit
	for _, v := range p.disruptions.Reservations {
		if v.Kind == ForReboot && v.Wave == w.ID && p.s.Now.Sub(v.Since) < p.policy.StartWindow {
			left--
		}
	}
	return left
}

// maxAway returns how many instances the wave may have out of service at a
// time.
func (w Wave) maxAway() int {
	if w.Strategy == OneAtATime {
		return 1
	}
	return w.MaxDown
}

// due returns the instances that the wave has yet to reboot, in the order in
// which it takes them. Spares come first, so that they can replace other
// instances afterwards.
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
	sort.Slice(due, func(i, j int) bool { return p.precedes(due[i], due[j]) })
	return due
}

func (p *planner) precedes(a, b Record) bool {
	if spareA, spareB := p.poolCounts[a.Home].Spare, p.poolCounts[b.Home].Spare; spareA != spareB {
		return spareA
	}
	zoneA, zoneB := p.s.Listed[a.Instance].AvailabilityZone, p.s.Listed[b.Instance].AvailabilityZone
	if zoneA != zoneB {
		return zoneA < zoneB
	}
	return a.Instance < b.Instance
}

// canReserve reports whether the wave may reserve the instance of r now.
func (p *planner) canReserve(_ Wave, r Record) bool {
	if _, reserved := p.disruptions.Find(r.Instance); reserved || r.Phase != Serving || r.Lent() {
		return false
	}
	return p.s.live(r.Instance) && p.poolCounts[r.Pool].Free() > 0
}

// countAway counts the instances that are reserved for the wave and not lost.
func (p *planner) countAway(w Wave) int {
	away := 0
	for _, v := range p.disruptions.Reservations {
		if v.Kind == ForReboot && v.Wave == w.ID && !p.policy.lost(p.s.Records[v.Instance], p.s.Now) {
			away++
		}
	}
	return away
}

// finish ends the wave, once every instance that it covers is done or lost.
func (p *planner) finish(w Wave) {
	w.State, w.Finished = WaveDone, p.s.Now
	p.changes.Wave = &w
}
