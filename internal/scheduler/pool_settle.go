package scheduler

import (
	"slices"
	"time"
)

// settleFormerRuns finds out whether each run that a former owner may have started is
// known: every worker that may have such runs has listed all that it has to report, or
// their leases have expired, and no former owner sends orders any longer.
func (p *Pool) settleFormerRuns(now time.Time, plan *Plan) {
	if p.formerRunsKnown {
		return
	}
	p.pollIdleWorkers(now, plan)
	p.awaitListed()
	for id := range p.awaited {
		end := p.formerRunsEndOn(id)
		if now.Before(end) {
			plan.wakeAt(end)
		} else {
			p.noteAwaitedOver(id, end)
			delete(p.awaited, id)
		}
	}
	if len(p.awaited) > 0 {
		p.formerAnsweredAt = time.Time{}
		return
	}
	if p.formerAnsweredAt.IsZero() {
		p.formerAnsweredAt = now
	}
	if now.Before(p.formerOrdersEndAt) {
		plan.wakeAt(p.formerOrdersEndAt)
		return // a former owner may still start tasks on a worker that restarts
	}
	p.formerRunsKnown = true
}

// pollIdleWorkers has idle workers polled again and again while a former owner may send
// orders: one that starts again knows no fencing token, and the platform lists that only
// later.
func (p *Pool) pollIdleWorkers(now time.Time, plan *Plan) {
	if !now.Before(p.formerOrdersEndAt) {
		return
	}
	for id, w := range p.workers {
		if w.fenced && w.reachable && !w.lost && len(w.runs) == 0 && now.Sub(w.pollAnsweredAt) >= idlePollInterval {
			w.pollWanted = true
			plan.Polls = append(plan.Polls, id)
		}
	}
	slices.Sort(plan.Polls)
	plan.wakeAt(now.Add(idlePollInterval))
}

// idlePollInterval is short compared with the restart of a worker and the time in which
// another owner's start can follow it.
const idlePollInterval = 200 * time.Millisecond

// formerRunsEndOn returns by when the leases of all runs that a former owner started on
// an awaited worker have expired.
func (p *Pool) formerRunsEndOn(id string) time.Time {
	if w := p.workers[id]; w != nil {
		return Later(p.formerRunsEndAt, w.extendedUntil)
	}
	return p.formerRunsEndAt
}

// awaitListed adds the listed workers whose ends are not known yet to those that the
// roster named, and removes those whose ends are known and those that are lost.
func (p *Pool) awaitListed() {
	for id, w := range p.workers {
		if w.endsKnown || w.lost {
			delete(p.awaited, id)
		} else if p.awaited[id] == nil {
			p.awaited[id] = &awaitedWorker{machine: w.info.Machine}
		}
	}
}

// mayRunUnderFormerOwner reports whether a run of the task that a former owner started
// may go on unknown to this owner, or one is being stopped that the task does not need. Former owners start no job that was accepted after
// this one acquired the pool: notices name the owner that they are for, and a watch
// shows the change of the owner first.
func (p *Pool) mayRunUnderFormerOwner(t *task) bool {
	if p.unneededRuns[t.id] > 0 {
		return true
	}
	if p.formerRunsKnown || t.stage.job.created > p.token {
		return false
	}
	for _, a := range p.awaited {
		if a.mayRun(t.id) {
			return true
		}
	}
	return false
}
