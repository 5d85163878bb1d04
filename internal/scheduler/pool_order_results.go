package scheduler

import "time"

// StartAnswered applies the result of a start order. clock is the worker's clock in its
// answer, in milliseconds, or 0 if there was none.
func (p *Pool) StartAnswered(o StartOrder, result OrderResult, clock int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if clock > 0 && (o.Incarnation == 0 || o.Incarnation == w.incarnation) { // another one's clock says nothing of the present one
		p.applyClock(w, clock, &o, now)
		w.reachable, w.silent = true, false
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	if r == nil || r.phase == running {
		return
	}
	p.applyStartResult(w, r, result, now)
}

// applyClock applies the clock reading of an order's answer. A worker's clock starts
// anew with each incarnation. A reading below what the known clock showed when the order
// was sent is from a later incarnation. One above what it can show by now is from an
// earlier incarnation and is ignored.
func (p *Pool) applyClock(w *worker, clock int64, o *StartOrder, now time.Time) {
	if w.clock.known() && clock > w.clock.maxMillis(now, &p.timing) {
		return
	}
	if w.clock.known() && clock < w.clock.minMillis(o.SentAt, &p.timing) {
		p.addEvent(Event{Kind: ClockBehind, Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Number: w.ackableEnds}, now)
		w.pollSentAt = time.Time{}
		w.expiresAt = Later(w.expiresAt, now.Add(p.timing.longest()))
	}
	w.clock = clockReading{readAt: now, millis: clock}
}

func (p *Pool) applyStartResult(w *worker, r *run, result OrderResult, now time.Time) {
	repeated := r.phase == startUnknown
	switch result {
	case Accepted:
		r.phase = running
		r.answeredAt = now
		p.markActive(r.stage.job)
		return
	case OtherIncarnation:
		p.addEvent(Event{Kind: OtherIncarnationAtAddress, Worker: w.info.ID}, now)
		p.markSuperseded(w)
		return
	case NoResponse:
		r.markStartUnknown()
		r.lateStartPossible = true
		if repeated { // one call may get lost; a worker that answers neither is probably down
			r.resentAt = now
			w.block(now.Add(blockAfterFailure))
		}
		return
	case Outdated:
		// The worker has the end of this attempt, or has run a later attempt.
		r.phase = startUnknown
		r.stoppedAt = now
		r.task.attempt++
		return
	}
	p.applyRefusal(w, r, result, now)
	switch {
	case !repeated:
		p.release(r)
	case result == TooLate:
		r.stoppedAt = now // an earlier copy has started the run or never will: the next poll shows which
	default:
		r.requestStop() // an earlier copy may still be carried out
	}
}

// applyRefusal applies the reason why a worker did not start a task.
func (p *Pool) applyRefusal(w *worker, r *run, result OrderResult, now time.Time) {
	switch result {
	case InsufficientCapacity:
		p.counts.Refused++
		w.block(now.Add(blockAfterRefusal))
	case NotReached:
		w.reachable, w.silent, w.pollSentAt = false, true, time.Time{}
	case Restarted:
		w.reachable, w.pollSentAt = false, time.Time{} // a poll shows the new incarnation
	case Unhealthy:
		w.block(now.Add(blockAfterFailure))
	case NoTicket:
		if r.stage != nil {
			r.stage.tickets.validUntil = now
		}
	case Malformed:
		if r.task != nil {
			r.task.notBefore = now.Add(malformedRetryDelay)
		}
	default:
	}
}

// StopAnswered applies the result of a stop order. One that was ordered before the worker's
// present incarnation was known says nothing of that incarnation.
func (p *Pool) StopAnswered(o StopOrder, result OrderResult, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[o.Worker]
	if !ok || o.Incarnation != w.incarnation {
		return
	}
	if result == OtherIncarnation {
		p.addEvent(Event{Kind: OtherIncarnationAtAddress, Worker: o.Worker}, now)
		p.markSuperseded(w)
		return
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	if r != nil && (result == Accepted || result == Outdated) {
		r.stoppedAt = now
	}
}

const (
	// blockAfterRefusal is how long no task starts on a worker that refused one for
	// lack of capacity: about the time until one of its tasks ends.
	blockAfterRefusal = 200 * time.Millisecond
	// malformedRetryDelay is the wait before a task whose start a worker could not
	// decode is started again.
	malformedRetryDelay = 2 * time.Second
)
