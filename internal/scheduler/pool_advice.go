package scheduler

import "time"

// ensureTickets reports whether the stage has valid tickets. If not, it adds a request
// for them to the plan, unless one is unanswered or was refused a short time ago.
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

// adviceCandidates returns the IDs of up to maxAdvisedWorkers workers on which the stage
// could run. After an answer that granted none of the workers that stay in the pool, they
// include the offered ones, whose offers can be withdrawn.
func (p *Pool) adviceCandidates(s *stage, now time.Time) []string {
	ids := make([]string, 0, maxAdvisedWorkers)
	refused := len(s.tickets.byWorker) == 0 && !s.tickets.retryAt.IsZero()
	for id, w := range p.workers {
		if len(ids) == maxAdvisedWorkers {
			break
		}
		if (w.usable(now) || refused && p.canTakeBack(w)) && s.step.reserved().Fits(w.info.Capacity) && (s.step.Label == "" || w.info.HasLabel(s.step.Label)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ApplyAdvice applies the advice service's answer to req. granted holds the tickets by
// worker and is empty if there was no answer; they are valid for validFor from now.
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
	// maxAdvisedWorkers bounds the workers named in one request: each of them delays
	// the answer.
	maxAdvisedWorkers = 30
	// adviceRetryDelay is the wait after a request that granted nothing.
	adviceRetryDelay = 500 * time.Millisecond
)
