package work_test

import (
	"time"

	"persimmonbay/internal/work"
)

// The pauses of the keeper's lookers.
const (
	lookRetry     = 100 * time.Millisecond
	lookRetryMost = 800 * time.Millisecond
	retireEvery   = 10 * time.Second
	saveWait      = 400 * time.Millisecond
)

func (o *overlapOwner) kick(worker string) {
	l := o.lookers[worker]
	if l == nil {
		return
	}
	l.kicked = true
	if l.idle {
		l.idle = false
		o.after(0, func() { o.lookOn(l) })
	}
}

func (o *overlapOwner) kickAll() {
	for _, m := range sortedKeys(o.lookers) {
		o.kick(m)
	}
}

// lookOn goes on with a looker: it waits for progress to be kept, looks, or
// waits for a kick.
func (o *overlapOwner) lookOn(l *overlapLooker) {
	if o.over {
		return
	}
	if o.pool.Saving(l.worker) && (l.saving.IsZero() || o.s.now.Before(l.saving)) {
		if l.saving.IsZero() {
			l.saving = o.s.now.Add(saveWait)
		}
		o.after(5*time.Millisecond, func() { o.lookOn(l) })
		return
	}
	l.saving = time.Time{}
	req, due := o.pool.LookFor(l.worker, o.s.now)
	if !due {
		if l.kicked {
			l.kicked = false
			o.after(time.Millisecond, func() { o.lookOn(l) })
			return
		}
		l.idle = true
		o.after(retireEvery, func() { o.retire(l) })
		return
	}
	l.kicked = false
	l.address = req.Address
	if !o.holds() {
		o.failed(l)
		return
	}
	o.look(l, req)
}

// retire ends the looker of a worker that the pool no longer has, or looks on.
func (o *overlapOwner) retire(l *overlapLooker) {
	if !l.idle || o.lookers[l.worker] != l {
		return
	}
	l.idle = false
	if !o.pool.Has(l.worker) {
		delete(o.lookers, l.worker)
		return
	}
	o.lookOn(l)
}

// failed goes on after the pause that follows a look without answer.
func (o *overlapOwner) failed(l *overlapLooker) {
	o.after(l.retry, func() { o.lookOn(l) })
	l.retry = min(2*l.retry, lookRetryMost)
}

func (o *overlapOwner) look(l *overlapLooker, req work.LookRequest) {
	if req.Deadline > 0 && !o.pool.Saving(l.worker) && o.pool.Busy(l.worker) {
		req.Wait = lookWait
	}
	sent := o.s.now
	silence := func(answer work.Answer) {
		switch {
		case o.over:
		case answer == work.Fenced:
			o.lose("fenced by " + l.worker)
		default:
			o.trace("does not see %s: %s", l.worker, answer)
			o.pool.LookFailed(l.worker, answer, o.s.now)
			o.kickPlan()
			o.failed(l)
		}
	}
	o.s.call(req.Address, req.Wait+orderTime, func(life *overlapLife, send func(func())) {
		answer := o.s.lookAt(life, req)
		if answer != work.Accepted {
			send(func() { silence(answer) })
			return
		}
		o.s.awaitEnd(life, req.Wait, func() {
			look := life.rows(req, sent, o.s.now)
			send(func() { o.looked(l, life, look) })
		})
	}, silence)
}

func (o *overlapOwner) looked(l *overlapLooker, life *overlapLife, look work.Look) {
	if o.over {
		return
	}
	look.ReceivedAt = o.s.now
	for _, e := range look.Ends {
		o.s.note(e.Task.Job, e.Task, life.name, "owner %d sees end %d of %v attempt %d on %s: %s; observed %d", o.token, e.Number, e.Task, e.Attempt, life.name, e.Kind, look.Observed)
	}
	o.pool.Looked(look)
	l.retry = lookRetry
	o.kickPlan()
	o.lookOn(l)
}
