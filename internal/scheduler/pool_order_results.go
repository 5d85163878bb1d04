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
	if result == OtherIncarnation && !w.isPresent(o.Address, o.Incarnation) {
		result = Superseded // it says nothing of the present incarnation
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	p.noteStartAnswer(w, r, &o, result, clock > 0, now)
	switch {
	case r == nil && result == NoResponse:
		w.raiseToken()
		if until := now.Add(p.timing.LateCalls); p.openStarts.extend(o.Task, o.Worker, o.Token, until) {
			w.openStart(until)
		} // otherwise its run was seen, which this call has started
	case r == nil || r.phase == running:
	case o.Token == r.token || result == Accepted || result == OtherIncarnation:
		p.applyStartResult(w, r, result, now)
	case result == NoResponse: // of an earlier copy than the last one
		r.openUntil = Later(r.openUntil, now.Add(p.timing.LateCalls))
		w.openStart(r.openUntil)
	}
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
		r.ran, r.copyOpen, r.refused = true, false, false
		w.startsRefused = 0
		p.markActive(r.stage.job)
		return
	case OtherIncarnation:
		r.copyOpen = false
		p.otherAtAddress(w, now)
		return
	case NoResponse:
		r.markStartUnknown()
		r.unansweredAt = now
		w.raiseToken()
		if repeated && p.isSilent(w) { // one call may get lost; a worker that answers neither is probably down
			r.resentAt = now
			w.block(now.Add(blockAfterFailure))
		}
		return
	case Outdated:
		// The worker has the end of this attempt, or has run a later attempt.
		r.phase = startUnknown
		r.copyOpen, r.outdated = false, true
		r.stoppedAt = now
		r.task.attempt++
		return
	}
	p.applyRefusal(w, r, result, now)
	r.copyOpen = false
	if !repeated {
		p.release(r)
		return
	}
	// This says nothing of the earlier copies: the next poll shows whether one was carried
	// out. A copy that was not sent changes nothing about sending another.
	r.refused = result != NotReached || !p.answerLimits(0).Follow()
	w.raiseToken()
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
		w.noteUnhealthy(now)
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
		p.otherAtAddress(w, now)
		return
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	switch result {
	case NoResponse:
		p.noteLost(w)
		w.raiseToken()
		if r != nil && r.stopSentAt.Equal(o.SentAt) {
			r.stopsLost++
			r.stopRetryAt = Later(now, o.SentAt.Add(o.Timeout))
		}
	case Superseded: // a start has overtaken it
		if r != nil && r.stopSentAt.Equal(o.SentAt) {
			r.stopRetryAt = now
		}
	case Accepted, Outdated:
		p.noteStopAnswer(w, &o, now)
		if r != nil {
			r.stoppedAt = now
		}
	default:
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
