package scheduler

import "time"

// planTimers sets the time of the next plan for changes that no call announces: an
// occurrence becomes due, the leases on an unreachable worker expire, or a worker is no
// longer blocked or suspended.
func (p *Pool) planTimers(now time.Time, plan *Plan) {
	for _, w := range p.workers {
		if len(w.runs) > 0 && !w.reachable && !now.After(w.expiresAt) {
			plan.wakeAt(w.expiresAt) // the outcome of a poll after that causes a plan
		}
		if now.Before(w.suspendedUntil) {
			plan.wakeAt(w.suspendedUntil)
		}
		if now.Before(w.blockedUntil) {
			plan.wakeAt(w.blockedUntil)
		}
	}
	for _, j := range p.jobOrder {
		if len(j.occurrences) < j.due && !j.progress.State.Final() {
			plan.wakeAt(now.Add(dueCheckInterval))
		}
	}
}

// dueCheckInterval is the time between two checks of jobs with later occurrences. The
// time of day may jump, so no timer can be set for it. The interval is well within the
// bound for an early start.
const dueCheckInterval = 100 * time.Millisecond
