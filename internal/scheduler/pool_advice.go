package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// planAdvice adds a request for the stage's tickets to the plan, unless one is unanswered
// or was refused a short time ago. Stages of which a task could start on the answer call
// first, in the order of their ranks. One that has no room, or that may run under a former
// owner, would hold tickets that run out: it calls only while the service has nothing to do.
func (p *Pool) planAdvice(s *stage, now time.Time, plan *Plan) {
	first := s.firstWaiting(now)
	if first == nil || s.tickets.requested {
		return
	}
	if now.Before(s.tickets.retryAt) {
		plan.wakeAt(s.tickets.retryAt)
		return
	}
	unsettled := p.mayRunUnderFormerOwner(first)
	hasRoom := p.mayHaveRoom(s, now)
	if !hasRoom && !unsettled && len(s.tickets.byWorker) > 0 {
		p.waitsForRoom(s, now)
	}
	if unsettled || !hasRoom {
		if p.advice.deferred == nil {
			p.advice.deferred = s
		}
		return
	}
	if !p.callForAdvice(s, now, plan) {
		p.advice.waiting++
	}
}

// planDeferredAdvice has the stage call that could not start on its tickets yet, if no
// other call is in flight.
func (p *Pool) planDeferredAdvice(now time.Time, plan *Plan) {
	if s := p.advice.deferred; s != nil && p.advice.inFlight == 0 {
		p.callForAdvice(s, now, plan)
	}
}

// callForAdvice adds a request for the stage's tickets to the plan, and reports whether
// the service may be called now.
func (p *Pool) callForAdvice(s *stage, now time.Time, plan *Plan) bool {
	policy := s.job.sub.Advice
	workers := p.adviceCandidates(s, now)
	if len(workers) == 0 {
		s.tickets.forget(now)
		plan.wakeAt(s.tickets.retryAt)
		return false
	}
	takes := policy.callTime(len(workers))
	if !p.advice.mayCall(takes, policy.TicketValidity, now) {
		if now.Before(p.advice.pausedUntil) {
			plan.wakeAt(p.advice.pausedUntil)
		}
		return false
	}
	s.tickets.requested = true
	p.advice.inFlight++
	plan.Advice = append(plan.Advice, AdviceRequest{
		Job: s.job.sub.ID, Occurrence: s.occurrence, Step: s.index, Workers: workers, Timeout: maxAdviceCalls*takes + adviceTimeout,
	})
	return true
}

// mayHaveRoom reports whether one task of the stage, or all tasks of a gang, would have
// room now if the service grants all workers that it has not refused yet.
func (p *Pool) mayHaveRoom(s *stage, now time.Time) bool {
	if !p.startCandidates.mayFit(s.step.reserved()) {
		return false
	}
	n := 1
	if s.step.Gang {
		n = s.waitingTasks(now)
	}
	for _, w := range p.startCandidates.workers {
		if s.tickets.excludes(w.info.ID) || p.hold.keeps(s, w) || s.step.Label != "" && !w.info.HasLabel(s.step.Label) {
			continue
		}
		fits := s.step.reserved().timesIn(w.free())
		if s.step.MaxPerWorker > 0 {
			fits = min(fits, s.step.MaxPerWorker-s.runsOn(w))
		}
		if n -= max(fits, 0); n <= 0 {
			return true
		}
	}
	return false
}

// adviceCandidates returns the IDs of the workers that a call for the stage's tickets
// names: those with most free capacity first. After an answer that granted none of the
// workers that stay in the pool, they include the offered ones, whose offers can be withdrawn.
func (p *Pool) adviceCandidates(s *stage, now time.Time) []string {
	var candidates []*worker
	refused := len(s.tickets.byWorker) == 0 && !s.tickets.retryAt.IsZero()
	for _, w := range p.workers {
		if s.tickets.excludes(w.info.ID) {
			continue
		}
		if (w.usable(now) || refused && p.canTakeBack(w)) && s.step.reserved().Fits(w.info.Capacity) && (s.step.Label == "" || w.info.HasLabel(s.step.Label)) {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().MilliCPU, a.free().MilliCPU), compareIDs(a, b))
	})
	n := min(len(candidates), p.advice.workersToName(s.waitingTasks(now)))
	ids := make([]string, 0, n)
	for _, w := range candidates[:n] {
		ids = append(ids, w.info.ID)
	}
	return ids
}

// ApplyAdvice applies the outcome of a request at now. Each request of a plan has to get
// one, or the pool asks for no further tickets.
func (p *Pool) ApplyAdvice(req AdviceRequest, reply AdviceReply, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advice.ended(reply.Answered, now)
	j := p.jobs[req.Job]
	if j == nil || req.Occurrence >= len(j.occurrences) {
		return
	}
	t := &j.occurrences[req.Occurrence].stages[req.Step].tickets
	t.requested = false
	if reply.Answered {
		t.apply(req.Workers, &reply, j.sub.Advice, now)
	}
}
