package maintenance

// reboot writes r as rebooting; the reboot is requested once the record is
// stored.
func (p *planner) reboot(r Record) {
	r = r.enter(Rebooting, p.s.Now)
	p.write(r)
	p.changes.Reboots = append(p.changes.Reboots, r)
}

// advanceRebooting waits until a rebooted instance is live again.
//
// If the list has not shown the instance down within the grace period although
// the platform accepted the request, the reboot was faster than the list is
// read and counts as done. If it is not known whether the request was accepted,
// the reboot is requested again.
//
// The instance serves again only when the request is known to have ended, by
// its reply or by its deadline. An instance that failed on its own must not
// serve again while the request may still reboot it.
func (p *planner) advanceRebooting(r Record) {
	live := p.s.live(r.Instance)
	waited := p.s.Now.Sub(r.Since) > p.policy.RebootGrace
	switch {
	case !live && !r.Reboot.SeenDown:
		r.Reboot.SeenDown = true
		p.write(r)
	case live && r.Reboot.SeenDown && (r.Reboot.Accepted || waited), live && waited && r.Reboot.Accepted:
		p.finishReboot(r)
	case live && waited:
		r.Reboot.Attempt++
		p.reboot(r)
	}
}

// finishReboot makes a rebooted instance serve its pool again.
func (p *planner) finishReboot(r Record) {
	r.Maintained, r.Reboot, r.MissingSince = r.Reboot.Wave, Reboot{}, zeroTime
	p.serve(r, r.Pool)
}
