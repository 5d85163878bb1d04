package maintenance

// advance takes the record of a reservation one step on.
func (p *planner) advance(v Reservation) {
	r, known := p.s.Records[v.Instance]
	if !known {
		p.release(v.Instance)
		return
	}
	if p.written[v.Instance] {
		return // forgotten
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

// advanceServing begins what was reserved, or ends it when it has been done.
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

// fulfilled reports whether a serving instance needs nothing more. The record
// has always been written since the reservation was made, so that a controller
// with an older snapshot can no longer begin what was reserved.
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

// advanceLeaving waits until every entry knows that the instance leaves.
func (p *planner) advanceLeaving(v Reservation, r Record) {
	if v.Kind == ForReturn {
		p.returned(v, r)
		return
	}
	if p.s.acknowledged(r) {
		p.drained(v, r)
	}
}

// drained settles an instance that no entry sends work to any more.
func (p *planner) drained(v Reservation, r Record) {
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
		p.drained(v, r)
	case ForReturn:
		p.returned(v, r)
	}
}

// rebootDrained has an instance that no entry sends work to rebooted, once it
// is live. One that leaves meanwhile is noted as drained.
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

// returned ends a drain.
func (p *planner) returned(v Reservation, r Record) {
	r.Returned = v.Since
	p.serve(r, r.Pool)
}

// serve puts the instance to work in pool.
func (p *planner) serve(r Record, pool string) {
	r.Pool, r.Target = pool, ""
	p.write(r.enter(Serving, p.s.Now))
}
