package maintenance

// reboot writes r as rebooting and asks for the reboot once that is stored.
func (p *planner) reboot(r Record) {
	r = r.enter(Rebooting, p.s.Now)
	p.write(r)
	p.changes.Reboots = append(p.changes.Reboots, r)
}

// advanceRebooting follows a reboot until the instance is back. One that the
// list never showed down has come back faster than the list tells if the
// platform accepted the request, and is asked for again if nobody knows. It
// serves again only when the request is known to have ended, by its answer or
// by its deadline: an instance that failed by itself must not serve again with
// the request still under way.
func (p *planner) advanceRebooting(r Record) {
	live := p.s.live(r.Instance)
	waited := p.s.Now.Sub(r.Since) > p.policy.RebootGrace
	switch {
	case !live && !r.Reboot.SeenDown:
		r.Reboot.SeenDown = true
		p.write(r)
	case live && r.Reboot.SeenDown && (r.Reboot.Accepted || waited), live && waited && r.Reboot.Accepted:
		p.back(r)
	case live && waited:
		r.Reboot.Attempt++
		p.reboot(r)
	}
}

// back puts a rebooted instance to work again.
func (p *planner) back(r Record) {
	r.Maintained, r.Reboot, r.MissingSince = r.Reboot.Wave, Reboot{}, zeroTime
	p.serve(r, r.Pool)
}
