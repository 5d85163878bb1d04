package scheduler

import (
	"time"
)

func (p *Pool) settleFormerRuns(now time.Time, plan *Plan) {
	if p.formerRunsKnown {
		return
	}
	p.awaitListed()
	p.formerWorkersAnswered = len(p.awaited) == 0 || !now.Before(p.formerRunsEndAt)
	if now.Before(p.formerRunsEndAt) && len(p.awaited) > 0 {
		plan.wakeAt(p.formerRunsEndAt)
		return
	}
	if now.Before(p.formerOrdersEndAt) {
		plan.wakeAt(p.formerOrdersEndAt)
		return // a worker that starts again may still get tasks of an earlier owner
	}
	p.formerRunsKnown = true
	clear(p.awaited)
}

func (p *Pool) awaitListed() {
	for id, w := range p.workers {
		if w.fenced || w.lost {
			delete(p.awaited, id)
		} else if p.awaited[id] == nil {
			p.awaited[id] = &awaitedWorker{machine: w.info.Machine}
		}
	}
}

func (p *Pool) mayRunUnderFormerOwner(t *task) bool {
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
