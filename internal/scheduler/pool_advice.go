package scheduler

import "time"

// advised reports whether the stage holds valid tickets, and asks for them
// otherwise.
func (p *Pool) advised(s *stage, now time.Time, plan *Plan) bool {
	t := &s.tickets
	if t.valid(now) {
		return true
	}
	if t.asking {
		return false
	}
	if now.Before(t.askAfter) {
		plan.wakeAt(t.askAfter)
		return false
	}
	t.asking = true
	plan.Advice = append(plan.Advice, AdviceRequest{Job: s.job.sub.ID, Occurrence: s.occurrence, Step: s.index, Workers: p.candidates(s, now)})
	return false
}

// candidates names workers on which the stage could run.
func (p *Pool) candidates(s *stage, now time.Time) []string {
	ids := make([]string, 0, advisedWorkers)
	for id, w := range p.workers {
		if len(ids) == advisedWorkers {
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
func (p *Pool) ApplyAdvice(req AdviceRequest, granted map[string]string, valid time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[req.Job]
	if j == nil || req.Occurrence >= len(j.occurrences) {
		return
	}
	t := &j.occurrences[req.Occurrence].stages[req.Step].tickets
	t.asking = false
	t.byWorker = granted
	t.until = now.Add(valid)
	if len(granted) == 0 {
		t.askAfter = now.Add(askAgain)
	}
}

const (
	// advisedWorkers bounds the workers named in one call: each makes the
	// answer later.
	advisedWorkers = 30
	// askAgain is how long to wait after a call that granted nothing.
	askAgain = 500 * time.Millisecond
)
