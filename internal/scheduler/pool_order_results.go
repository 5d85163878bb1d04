package scheduler

import "time"

// StartAnswered takes in a worker's answer to a start. clock is the worker's own, in
// milliseconds; 0 when it was not told.
func (p *Pool) StartAnswered(o StartOrder, result OrderResult, clock int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if clock > 0 {
		p.readClock(w, clock, &o, now)
		w.reachable, w.silent = true, false
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	if r == nil || r.phase == running {
		return
	}
	p.applyStartResult(w, r, result, now)
}

// readClock takes in the clock of an order's answer. One behind the clock read
// before is that of a later incarnation, one ahead of it that of an earlier incarnation.
func (p *Pool) readClock(w *worker, clock int64, o *StartOrder, now time.Time) {
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
		p.supersededAtAddress(w)
		return
	case Unanswered:
		r.markStartUnknown()
		r.resentAt = now
		r.lateStartPossible = true
		w.block(now.Add(blockAfterFailure))
		return
	case Outdated:
		// An end of this attempt is listed there, or a later attempt ran.
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
		r.stoppedAt = now // the first copy has run, or never will: the next poll tells
	default:
		r.requestStop() // the first copy may still be carried out
	}
}

// refused takes in why a worker did not start a task.
func (p *Pool) applyRefusal(w *worker, r *run, result OrderResult, now time.Time) {
	switch result {
	case NoRoom:
		p.counts.Refused++
		w.block(now.Add(blockAfterRefusal))
	case NotReached:
		w.reachable, w.silent, w.pollSentAt = false, true, time.Time{}
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

// StopAnswered takes in a worker's answer to a stop.
func (p *Pool) StopAnswered(o StopOrder, result OrderResult, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if result == OtherIncarnation {
		p.addEvent(Event{Kind: OtherIncarnationAtAddress, Worker: o.Worker}, now)
		p.supersededAtAddress(w)
		return
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	if r != nil && (result == Accepted || result == Outdated) {
		r.stoppedAt = now
	}
}

const (
	// blockAfterRefusal is how long a worker without room gets no new task:
	// about the time until one of its tasks ends.
	blockAfterRefusal = 200 * time.Millisecond
	// retryMalformed is how long a task waits that a worker did not understand.
	malformedRetryDelay = 2 * time.Second
)
