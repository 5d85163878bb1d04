package scheduler

import (
	"time"

	"persimmonbay/internal/answertime"
)

// callTimeout returns how long the answer to a call to the worker is waited for, when so
// many copies of it got none; ceiling at most, and ceiling while no answer time is known.
func (p *Pool) callTimeout(w *worker, ceiling time.Duration, copies int) time.Duration {
	return w.answers.Timeout(p.answerLimits(ceiling), &p.ownAnswers, copies)
}

// hastyTimeout returns how long a poll waits that does not show whether the worker is gone.
// The first polls of a worker that has not answered this owner wait no longer than a start:
// runs whose leases a former owner granted must not end because one of them is lost.
func (p *Pool) hastyTimeout(w *worker) time.Duration {
	ceiling := p.timing.OrderTimeout
	if l := p.answerLimits(ceiling); l.Follow() && w.answers.State(l) == answertime.Unknown {
		ceiling = min(p.timing.StartTimeout<<w.hasty, ceiling)
	}
	return p.callTimeout(w, ceiling, w.hasty)
}

// startTimeout returns how long the answer to the last copy of a run's start is waited for.
func (p *Pool) startTimeout(r *run) time.Duration {
	if r.copies == 0 {
		return p.callTimeout(r.worker, p.timing.StartTimeout, 0)
	}
	return p.callTimeout(r.worker, p.timing.OrderTimeout, r.copies)
}

func (p *Pool) answerLimits(ceiling time.Duration) answertime.Limits {
	return answertime.Limits{Floor: p.timing.LeastTimeout, Ceiling: ceiling}
}

// isLossy reports whether the worker answers, but leaves some calls without an answer.
func (p *Pool) isLossy(w *worker) bool {
	l := p.answerLimits(p.timing.OrderTimeout)
	return l.Follow() && w.answers.State(l) == answertime.Lossy
}

// isSilent reports whether a second call without an answer is to be taken for an outage of
// the worker.
func (p *Pool) isSilent(w *worker) bool {
	l := p.answerLimits(p.timing.OrderTimeout)
	return !l.Follow() || w.answers.State(l) == answertime.Silent
}

// noteAnswer records the time of an answer that nothing held back.
func (p *Pool) noteAnswer(w *worker, took time.Duration) {
	w.answers.Answered(took)
	p.ownAnswers.Add(took)
	p.answerStatistics.Answered(took)
}

// noteReply records the answer time of a poll, beyond the time for which the worker held
// the reply back: that is not known if it did so for a part of the wait.
func (p *Pool) noteReply(w *worker, reply *PollReply) {
	if took := reply.ReceivedAt.Sub(reply.SentAt) - reply.Wait; took >= 0 {
		p.noteAnswer(w, took)
		return
	}
	w.answers.AnsweredAgain()
}

// noteLost records a call that got no answer in time.
func (p *Pool) noteLost(w *worker) {
	w.answers.Lost()
	p.answerStatistics.Lost()
}

// noteStartAnswer records the answer to a start, or that there was none.
func (p *Pool) noteStartAnswer(w *worker, r *run, o *StartOrder, result OrderResult, answered bool, now time.Time) {
	switch {
	case result == NoResponse:
		p.noteLost(w)
		if r != nil && r.phase == running && r.token == o.Token {
			p.noteLate(w)
		}
	case answered && o.Copies == 0:
		p.noteAnswer(w, now.Sub(o.SentAt))
	case answered:
		w.answers.AnsweredAgain()
	}
}

// noteStopAnswer records the answer to a stop.
func (p *Pool) noteStopAnswer(w *worker, o *StopOrder, now time.Time) {
	if o.Copies == 0 {
		p.noteAnswer(w, now.Sub(o.SentAt))
		return
	}
	w.answers.AnsweredAgain()
}

// noteCarriedOut records that a reply shows a run whose start seemed lost.
func (p *Pool) noteCarriedOut(r *run) {
	if r.phase == startUnknown && !r.absent {
		p.noteLate(r.worker)
	}
}

func (p *Pool) noteLate(w *worker) {
	w.answers.WasCarriedOut()
	p.answerStatistics.Late()
}

// AnswerTimes returns the figures of the calls to workers for the metrics.
// Like Counts, it can be called on an unusable pool.
func (p *Pool) AnswerTimes() answertime.Summary {
	p.mu.mu.Lock()
	defer p.mu.mu.Unlock()
	summary := p.answerStatistics.Summary()
	l := p.answerLimits(p.timing.OrderTimeout)
	for _, w := range p.workers {
		summary.States[w.answers.State(l).String()]++
	}
	return summary
}
