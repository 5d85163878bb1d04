package scheduler

import (
	"slices"
	"time"
)

// planAdvice adds a request for the stage's tickets to the plan, unless one is unanswered.
// Stages of which a task could start on the answer call first, in the order of their ranks.
// One that has no room, or that may run under a former owner, would hold tickets that run
// out, and one that was granted no worker in several rounds is likely to be granted none:
// these call only while the service has nothing to do. A stage with valid tickets asks for
// more only if that gives its tasks room.
func (p *Pool) planAdvice(s *stage, now time.Time, plan *Plan) {
	first := s.firstWaiting(now)
	if first == nil || s.tickets.requested {
		return
	}
	unsettled := p.mayRunUnderFormerOwner(first)
	valid := s.tickets.valid(now)
	if !valid {
		p.beginRoundIfDue(s, now)
	}
	hasRoom := p.mayHaveRoom(s, now)
	if !hasRoom && !unsettled && !valid && len(s.tickets.byWorker) > 0 {
		p.waitsForRoom(s, now)
	}
	if unsettled || !hasRoom || s.tickets.empty > maxEagerRounds {
		if !valid {
			p.advice.deferred = append(p.advice.deferred, s)
		}
		return
	}
	if !p.callForAdvice(s, now, plan) && !valid {
		p.advice.waiting++
	}
}

// planDeferredAdvice has the first of the stages call that could not start on their tickets
// yet, if no other call is in flight.
func (p *Pool) planDeferredAdvice(now time.Time, plan *Plan) {
	if now.Before(p.advice.pausedUntil) {
		plan.wakeAt(p.advice.pausedUntil)
		return
	}
	for _, s := range p.advice.deferred {
		if p.advice.inFlight > 0 || p.callForAdvice(s, now, plan) {
			return
		}
	}
}

// planMoreAdvice has a stage call for more workers whose tasks have no room on those that it
// has tickets for.
func (p *Pool) planMoreAdvice(s *stage, now time.Time, plan *Plan) {
	if s.job.sub.Advice != nil {
		p.planAdvice(s, now, plan)
	}
}

// callForAdvice adds a request for the stage's tickets to the plan, and reports whether
// the service may be called now.
func (p *Pool) callForAdvice(s *stage, now time.Time, plan *Plan) bool {
	policy := s.job.sub.Advice
	workers := p.adviceCandidates(s, now)
	if len(workers) == 0 {
		if s.tickets.nextRound.After(now) {
			plan.wakeAt(s.tickets.nextRound)
		}
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

// beginRoundIfDue begins a new round of calls for the stage if all workers that may be named
// were refused in this one, and its pause is over.
func (p *Pool) beginRoundIfDue(s *stage, now time.Time) {
	if !s.tickets.refused {
		return
	}
	for _, w := range p.workers {
		if p.mayName(s, w, now) {
			return
		}
	}
	if s.tickets.roundDue(now) {
		p.addRunEvent(&Event{Kind: AdviceRefused, Task: TaskID{Job: s.job.sub.ID, Occurrence: s.occurrence, Step: s.index}, Number: s.tickets.refusedWorkers()})
		s.tickets.beginRound()
	}
}

// mayName reports whether a call for the stage's tickets may name the worker.
func (p *Pool) mayName(s *stage, w *worker, now time.Time) bool {
	t := &s.tickets
	if t.excludes(w) || t.byWorker[w.info.ID] != "" && t.valid(now) {
		return false
	}
	if !w.usable(now) && (t.round == 0 || !p.canTakeBack(w)) {
		return false
	}
	return s.step.reserved().Fits(w.info.Capacity) && (s.step.Label == "" || w.info.HasLabel(s.step.Label))
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
		if s.tickets.excludes(w) || p.hold.keeps(s, w) || s.step.Label != "" && !w.info.HasLabel(s.step.Label) {
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
// names. Those come first that have room for a task; among them those that the service has granted
// for the step, then those that it has not refused for it, then by its decisions for other
// steps of the queue, then those with most free capacity. Once all workers that stay in the pool
// have been refused, they include the offered ones, whose offers can be withdrawn.
func (p *Pool) adviceCandidates(s *stage, now time.Time) []string {
	t := &s.tickets
	var candidates []adviceCandidate
	for id, w := range p.workers {
		if p.mayName(s, w, now) {
			_, refused := t.refusals[id]
			candidates = append(candidates, adviceCandidate{
				id: id, hasRoom: s.step.reserved().Fits(w.free()), granted: t.byWorker[id] != "", refused: refused,
				history: p.adviceHistory.order(s.job.sub.Queue, id), freeMilliCPU: w.free().MilliCPU,
			})
		}
	}
	slices.SortFunc(candidates, adviceCandidate.compare)
	n := min(len(candidates), p.advice.workersToName(s.waitingTasks(now), t.misses))
	ids := make([]string, 0, n)
	for _, c := range candidates[:n] {
		ids = append(ids, c.id)
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
	if !reply.Answered {
		return
	}
	if len(reply.Granted) == 0 {
		p.counts.Unadvised++
	}
	var named []*worker
	for _, id := range req.Workers {
		if w := p.workers[id]; w != nil {
			named = append(named, w)
			p.adviceHistory.note(j.sub.Queue, id, reply.Granted[id] != "")
		}
	}
	t.apply(named, &reply, j.sub.Advice, now)
}
