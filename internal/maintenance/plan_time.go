package maintenance

import "time"

// zeroTime stands for an event that has not occurred.
var zeroTime time.Time

// absentFor returns for how long the instance of r has been rebooting or has
// not been live; zero if it is live.
func (p *planner) absentFor(r Record) time.Duration {
	if r.Phase == Rebooting {
		return p.s.Now.Sub(r.Since)
	}
	if r.Missing() {
		return p.s.Now.Sub(r.MissingSince)
	}
	return 0
}

// lost reports whether the instance of r was rebooted and has not returned
// within ReturnTimeout.
func (p Policy) lost(r Record, now time.Time) bool {
	return r.Phase == Rebooting && now.Sub(r.Since) > p.ReturnTimeout
}

// overdue reports whether a reboot takes longer than usual while the instance
// does not count as lost yet. Waves count such an instance as failed.
func (p Policy) overdue(r Record, now time.Time) bool {
	return r.Phase == Rebooting && now.Sub(r.Since) > p.ReturnTimeout/overdueDivisor && !p.lost(r, now)
}

// overdueDivisor divides the return timeout to give the time after which a
// reboot is overdue.
const overdueDivisor = 2
