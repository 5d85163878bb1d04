package maintenance

// openGroup returns the rack or zone that the wave must finish first: the first
// one with an instance that is neither done nor missing nor lost. It returns
// false for strategies without groups and when no such instance is left.
func (p *planner) openGroup(w Wave) (string, bool) {
	if w.Strategy != RackByRack && w.Strategy != ZoneByZone {
		return "", false
	}
	first, found := "", false
	for _, r := range p.s.Records {
		if !w.Covers(r) || r.Maintained == w.ID || r.Missing() || p.policy.lost(r, p.s.Now) {
			continue
		}
		group := p.groupOf(w, r)
		if !found || group < first {
			first, found = group, true
		}
	}
	return first, found
}

func (p *planner) groupOf(w Wave, r Record) string {
	i := p.s.Listed[r.Instance]
	return w.Strategy.group(i.AvailabilityZone, i.Rack)
}
