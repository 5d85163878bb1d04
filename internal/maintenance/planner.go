package maintenance

// planner collects the changes of one call of Plan and is not shared.
type planner struct {
	s                  *Snapshot
	policy             Policy
	changes            Changes
	disruptions        Disruptions
	disruptionsChanged bool // disruptions differs from that of the snapshot
	poolCounts         map[string]PoolCount
	written            map[string]bool // instances whose record is written or deleted
}

func (p *planner) result() Changes {
	if p.disruptionsChanged {
		p.changes.Disruptions = &p.disruptions
	}
	return p.changes
}

func (p *planner) write(r Record) {
	p.changes.Records = append(p.changes.Records, r)
	p.written[r.Instance] = true
}

func (p *planner) reserve(r Reservation) {
	p.disruptions, p.disruptionsChanged = p.disruptions.With(r), true
	t := p.poolCounts[r.Pool]
	t.Present--
	p.poolCounts[r.Pool] = t
}

func (p *planner) release(instance string) {
	p.disruptions, p.disruptionsChanged = p.disruptions.Without(instance), true
}
