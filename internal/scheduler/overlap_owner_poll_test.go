package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// The pauses of poolmanager's pollers.
const (
	pollRetry    = 100 * time.Millisecond
	maxPollRetry = 800 * time.Millisecond
	retireEvery  = 10 * time.Second
	saveWait     = 400 * time.Millisecond
)

func (o *overlapOwner) kick(worker string) {
	l := o.pollers[worker]
	if l == nil {
		return
	}
	l.kicked = true
	if l.idle {
		l.idle = false
		o.after(0, func() { o.continuePolling(l) })
	}
}

func (o *overlapOwner) kickAll() {
	for _, m := range sortedKeys(o.pollers) {
		o.kick(m)
	}
}

// continuePolling goes on with a poller: it waits for progress to be saved, polls, or
// waits for a kick.
func (o *overlapOwner) continuePolling(l *overlapPoller) {
	if o.over {
		return
	}
	if o.pool.HasUnsavedEnds(l.worker) && (l.saving.IsZero() || o.s.now.Before(l.saving)) {
		if l.saving.IsZero() {
			l.saving = o.s.now.Add(saveWait)
		}
		o.after(5*time.Millisecond, func() { o.continuePolling(l) })
		return
	}
	l.saving = time.Time{}
	req, due := o.pool.NextPoll(l.worker, o.s.now)
	if !due {
		if l.kicked {
			l.kicked = false
			o.after(time.Millisecond, func() { o.continuePolling(l) })
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
	o.poll(l, req)
}

// retire ends the poller of a worker that the pool no longer has, or goes on polling.
func (o *overlapOwner) retire(l *overlapPoller) {
	if !l.idle || o.pollers[l.worker] != l {
		return
	}
	l.idle = false
	if !o.pool.HasWorker(l.worker) {
		delete(o.pollers, l.worker)
		return
	}
	o.continuePolling(l)
}

// failed goes on after the pause that follows a poll without answer.
func (o *overlapOwner) failed(l *overlapPoller) {
	o.after(l.retry, func() { o.continuePolling(l) })
	l.retry = min(2*l.retry, maxPollRetry)
}

func (o *overlapOwner) poll(l *overlapPoller, req scheduler.PollRequest) {
	if req.Deadline > 0 && !o.pool.HasUnsavedEnds(l.worker) && o.pool.HasRuns(l.worker) {
		req.Wait = pollWait
	}
	sent := o.s.now
	silence := func(answer scheduler.OrderResult) {
		switch {
		case o.over:
		case answer == scheduler.Fenced:
			o.lose("fenced by " + l.worker)
		default:
			o.trace("does not see %s: %s", l.worker, answer)
			o.pool.PollFailed(l.worker, answer, o.s.now)
			o.kickPlan()
			o.failed(l)
		}
	}
	o.s.call(req.Address, req.Wait+orderTime, func(life *overlapIncarnation, send func(func())) {
		answer := o.s.poll(life, req)
		if answer != scheduler.Accepted {
			send(func() { silence(answer) })
			return
		}
		o.s.awaitEnd(life, req.Wait, func() {
			look := life.rows(req, sent, o.s.now)
			send(func() { o.pollAnswered(l, life, look) })
		})
	}, silence)
}

func (o *overlapOwner) pollAnswered(l *overlapPoller, life *overlapIncarnation, look scheduler.PollReply) {
	if o.over {
		return
	}
	look.ReceivedAt = o.s.now
	for _, e := range look.Ends {
		o.s.note(e.Task.Job, e.Task, life.name, "owner %d sees end %d of %v attempt %d on %s: %s; observed %d", o.token, e.Number, e.Task, e.Attempt, life.name, e.Kind, look.AckedEnds)
	}
	o.pool.ApplyPoll(look)
	l.retry = pollRetry
	o.kickPlan()
	o.continuePolling(l)
}
