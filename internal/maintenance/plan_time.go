package maintenance

import "time"

// zeroTime says that something has not happened.
var zeroTime time.Time

// goneFor returns how long the instance of r has not been seen live.
func (p *planner) goneFor(r Record) time.Duration {
	if r.Phase == Rebooting {
		return p.s.Now.Sub(r.Since)
	}
	if r.Missing() {
		return p.s.Now.Sub(r.MissingSince)
	}
	return 0
}

// lost reports whether the instance of r was rebooted and did not come back in
// time.
func (p Policy) lost(r Record, now time.Time) bool {
	return r.Phase == Rebooting && now.Sub(r.Since) > p.ReturnTimeout
}

// overdue reports whether a rebooted instance is out for longer than usual but
// not yet given up; the wave takes that for a failure.
func (p Policy) overdue(r Record, now time.Time) bool {
	return r.Phase == Rebooting && now.Sub(r.Since) > p.ReturnTimeout/overdueShare && !p.lost(r, now)
}

// overdueShare is the part of the return timeout after which a reboot counts
// as a failure.
const overdueShare = 2
