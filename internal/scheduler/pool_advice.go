package scheduler

import "time"

// advised reports whether the stage holds valid tickets, and asks for them
// otherwise.
func (p *Pool) ensureTickets(s *stage, now time.Time, plan *Plan) bool {
	t := &s.tickets
	if t.valid(now) {
		return true
	}
	if t.requested {
		return false
	}
	if now.Before(t.retryAt) {
		plan.wakeAt(t.retryAt)
		return false
	}
	t.requested = true
	plan.Advice = append(plan.Advice, AdviceRequest{Job: s.job.sub.ID, Occurrence: s.occurrence, Step: s.index, Workers: p.adviceCandidates(s, now)})
	return false
}

// candidates names workers on which the stage could run.
func (p *Pool) adviceCandidates(s *stage, now time.Time) []string {
	ids := make([]string, 0, maxAdvisedWorkers)
	for id, w := range p.workers {
		if len(ids) == maxAdvisedWorkers {
			break
		}
		if w.usable(now) && s.step.reserved().Fits(w.info.Capacity) && (s.step.Label == "" || w.info.HasLabel(s.step.Label)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ApplyAdvice takes in the advice service's answer; tickets is by worker, and nil
// when there was no answer.
func (p *Pool) ApplyAdvice(req AdviceRequest, granted map[string]string, validFor time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[req.Job]
	if j == nil || req.Occurrence >= len(j.occurrences) {
		return
	}
	t := &j.occurrences[req.Occurrence].stages[req.Step].tickets
	t.requested = false
	t.byWorker = granted
	t.validUntil = now.Add(validFor)
	if len(granted) == 0 {
		t.retryAt = now.Add(adviceRetryDelay)
	}
}

const (
	// advisedWorkers bounds the workers named in one call: each makes the
	// answer later.
	maxAdvisedWorkers = 30
	// askAgain is how long to wait after a call that granted nothing.
	adviceRetryDelay = 500 * time.Millisecond
)
