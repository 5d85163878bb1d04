package maintenance

// advance moves the record of a reserved instance one step on.
func (p *planner) advance(v Reservation) {
	r, known := p.s.Records[v.Instance]
	if !known {
		p.release(v.Instance)
		return
	}
	if p.written[v.Instance] {
		return // deleted by this plan
	}
	switch r.Phase {
	case Serving:
		p.advanceServing(v, r)
	case Leaving:
		p.advanceLeaving(v, r)
	case Drained:
		p.advanceDrained(v, r)
	case Rebooting:
		p.advanceRebooting(r)
	}
}

// advanceServing starts what the instance is reserved for, or ends the
// reservation once that is done.
func (p *planner) advanceServing(v Reservation, r Record) {
	if fulfilled(v, r) {
		if p.s.live(r.Instance) {
			p.release(v.Instance)
		}
		return
	}
	if v.Kind == ForReturn {
		r.Returned = v.Since
		p.write(r)
		return
	}
	r.Target = v.Target
	p.write(r.enter(Leaving, p.s.Now))
}

// fulfilled reports whether the reservation of a serving instance is carried
// out. The record has then been written since the reservation was made, so that
// a controller with an older snapshot fails to start it once more.
func fulfilled(v Reservation, r Record) bool {
	switch v.Kind {
	case ForReboot:
		return r.Maintained == v.Wave
	case ForMove:
		return r.Pool == v.Target && r.Home == v.Target
	case ForLoan:
		return r.Pool == v.Target
	}
	return v.Kind == ForReturn && r.Returned.Equal(v.Since)
}

// advanceLeaving waits until every entry has acknowledged that the instance is
// leaving.
func (p *planner) advanceLeaving(v Reservation, r Record) {
	if v.Kind == ForReturn {
		p.finishReturn(v, r)
		return
	}
	if p.s.acknowledged(r) {
		p.continueDrained(v, r)
	}
}

// continueDrained carries out the reservation of an instance to which no entry
// sends work any more.
func (p *planner) continueDrained(v Reservation, r Record) {
	switch v.Kind {
	case ForMove:
		r.Home = v.Target
		p.serve(r, v.Target)
	case ForLoan:
		p.serve(r, v.Target)
	case ForReboot:
		p.rebootDrained(v, r)
	default:
		r.Target = ""
		p.write(r.enter(Drained, p.s.Now))
	}
}

func (p *planner) advanceDrained(v Reservation, r Record) {
	switch v.Kind {
	case ForReboot, ForMove, ForLoan:
		p.continueDrained(v, r)
	case ForReturn:
		p.finishReturn(v, r)
	}
}

// rebootDrained starts the reboot of an instance to which no entry sends work,
// provided that it is live. Otherwise the instance becomes Drained and waits.
func (p *planner) rebootDrained(v Reservation, r Record) {
	switch {
	case p.s.live(r.Instance):
		r.Target, r.Reboot = "", Reboot{Attempt: 1, Wave: v.Wave}
		p.reboot(r)
	case r.Phase != Drained:
		r.Target = ""
		p.write(r.enter(Drained, p.s.Now))
	}
}

// finishReturn ends a drain: the instance serves its pool again.
func (p *planner) finishReturn(v Reservation, r Record) {
	r.Returned = v.Since
	p.serve(r, r.Pool)
}

// serve makes the instance serve the pool.
func (p *planner) serve(r Record, pool string) {
	r.Pool, r.Target = pool, ""
	p.write(r.enter(Serving, p.s.Now))
}
