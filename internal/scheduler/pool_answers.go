package scheduler

import "time"

// StartAnswered takes in a worker's answer to a start. clock is the worker's own, in
// milliseconds; 0 when it was not told.
func (p *Pool) StartAnswered(o StartOrder, answer OrderResult, clock int64, now time.Time) {
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
	p.started(w, r, answer, now)
}

// readClock takes in the clock of an order's answer. One behind the clock read
// before is that of a later incarnation, one ahead of it that of an earlier incarnation.
func (p *Pool) readClock(w *worker, clock int64, o *StartOrder, now time.Time) {
	if w.clock.known() && clock > w.clock.most(now, &p.timing) {
		return
	}
	if w.clock.known() && clock < w.clock.least(o.SentAt, &p.timing) {
		p.addEvent(Event{Kind: ClockBehind, Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Number: w.ackableEnds}, now)
		w.pollSentAt = time.Time{}
		w.expiresAt = Later(w.expiresAt, now.Add(p.timing.longest()))
	}
	w.clock = clockReading{at: now, millis: clock}
}

func (p *Pool) started(w *worker, r *run, answer OrderResult, now time.Time) {
	repeated := r.phase == startUnknown
	switch answer {
	case Accepted:
		r.phase = running
		r.answeredAt = now
		p.begun(r.stage.job)
		return
	case OtherIncarnation:
		p.addEvent(Event{Kind: OtherIncarnationAtAddress, Worker: w.info.ID}, now)
		p.supersededAtAddress(w)
		return
	case Unanswered:
		r.markStartUnknown()
		r.askedAt = now
		r.lostCopy = true
		w.block(now.Add(blockAfterFailure))
		return
	case Outdated:
		// An end of this attempt is listed there, or a later attempt ran.
		r.phase = startUnknown
		r.stoppedAt = now
		r.task.attempt++
		return
	}
	p.refused(w, r, answer, now)
	switch {
	case !repeated:
		p.release(r)
	case answer == TooLate:
		r.stoppedAt = now // the first copy has run, or never will: the next poll tells
	default:
		r.end() // the first copy may still be carried out
	}
}

// refused takes in why a worker did not start a task.
func (p *Pool) refused(w *worker, r *run, answer OrderResult, now time.Time) {
	switch answer {
	case NoRoom:
		p.counts.Refused++
		w.block(now.Add(blockAfterRefusal))
	case NotReached:
		w.reachable, w.silent, w.pollSentAt = false, true, time.Time{}
	case Unhealthy:
		w.block(now.Add(blockAfterFailure))
	case NoTicket:
		if r.stage != nil {
			r.stage.tickets.until = now
		}
	case Malformed:
		if r.task != nil {
			r.task.notBefore = now.Add(retryMalformed)
		}
	default:
	}
}

// StopAnswered takes in a worker's answer to a stop.
func (p *Pool) StopAnswered(o StopOrder, answer OrderResult, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if answer == OtherIncarnation {
		p.addEvent(Event{Kind: OtherIncarnationAtAddress, Worker: o.Worker}, now)
		p.supersededAtAddress(w)
		return
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	if r != nil && (answer == Accepted || answer == Outdated) {
		r.stoppedAt = now
	}
}

const (
	// blockAfterRefusal is how long a worker without room gets no new task:
	// about the time until one of its tasks ends.
	blockAfterRefusal = 200 * time.Millisecond
	// retryMalformed is how long a task waits that a worker did not understand.
	retryMalformed = 2 * time.Second
)
