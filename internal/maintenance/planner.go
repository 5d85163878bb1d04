package maintenance

// planner gathers the changes of one plan. It lives for one call of Plan and
// is not shared.
type planner struct {
	s           *Snapshot
	policy      Policy
	changes     Changes
	disruptions Disruptions
	altered     bool // disruptions differs from the snapshot's
	tallies     map[string]Tally
	written     map[string]bool // instances whose record is changed or forgotten
}

func (p *planner) result() Changes {
	if p.altered {
		p.changes.Disruptions = &p.disruptions
	}
	return p.changes
}

func (p *planner) write(r Record) {
	p.changes.Records = append(p.changes.Records, r)
	p.written[r.Instance] = true
}

func (p *planner) reserve(r Reservation) {
	p.disruptions, p.altered = p.disruptions.With(r), true
	t := p.tallies[r.Pool]
	t.Present--
	p.tallies[r.Pool] = t
}

func (p *planner) release(instance string) {
	p.disruptions, p.altered = p.disruptions.Without(instance), true
}
