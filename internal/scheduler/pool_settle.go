package scheduler

import (
	"time"
)

func (p *Pool) settle(now time.Time, plan *Plan) {
	if p.settled {
		return
	}
	p.awaitListed()
	p.answered = len(p.awaited) == 0 || !now.Before(p.settleBy)
	if now.Before(p.settleBy) && len(p.awaited) > 0 {
		plan.wakeAt(p.settleBy)
		return
	}
	if now.Before(p.quietAt) {
		plan.wakeAt(p.quietAt)
		return // a worker that starts again may still get tasks of an earlier owner
	}
	p.settled = true
	clear(p.awaited)
}

func (p *Pool) awaitListed() {
	for id, w := range p.workers {
		if w.fenced || w.lost {
			delete(p.awaited, id)
		} else if p.awaited[id] == nil {
			p.awaited[id] = &awaited{machine: w.info.Machine}
		}
	}
}

func (p *Pool) unsettled(t *task) bool {
	if p.settled || t.stage.job.created > p.token {
		return false
	}
	for _, a := range p.awaited {
		if a.mayHold(t.id) {
			return true
		}
	}
	return false
}
