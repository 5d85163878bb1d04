package scheduler

import "time"

// Plan decides which orders are to be sent at now, and records them as sent. wall is
// the time of day, by which occurrences become due.
func (p *Pool) Plan(now, wall time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	var plan Plan
	if p.loading {
		return plan
	}
	p.wallTime = wall
	p.sweepWorkers(now, &plan)
	p.closeOpenStarts(now, &plan)
	p.pollForOpenStarts(now, &plan)
	p.removeEndedJobs(now)
	p.settleFormerRuns(now, &plan)
	p.chooseMachinesToEmpty(now, wall)
	p.moveRunsOff(now, &plan)
	p.planStopsAndRepeats(now, &plan)
	p.planThrottles(now, &plan)
	p.planStarts(now, wall, &plan)
	p.raiseTokensOfPlan(&plan)
	plan.TokensUsedUp = p.tokensUsedUp()
	p.planTimers(now, &plan)
	return plan
}

// planStopsAndRepeats orders the stops that are due, repeated ones included, and
// repeats the starts that got no answer.
func (p *Pool) planStopsAndRepeats(now time.Time, plan *Plan) {
	for _, w := range p.workers {
		if !w.mayNeedOrders || w.lost {
			continue // an order to a lost worker would reach its next incarnation
		}
		w.mayNeedOrders = false
		for _, r := range w.runs {
			if !r.needsOrder() {
				continue
			}
			w.mayNeedOrders = true
			if r.wantStop {
				p.planStop(r, now, plan)
			} else {
				p.planRepeat(r, now, plan)
			}
		}
	}
}

func (p *Pool) planStop(r *run, now time.Time, plan *Plan) {
	if r.phase == starting {
		return
	}
	if !r.stopSentAt.IsZero() && now.Before(r.stopRetryAt) {
		plan.wakeAt(r.stopRetryAt)
		return
	}
	if r.movesOff && r.stage.step.LongRunning && !p.mayMove(r, now) {
		return // other tasks of the step have become unavailable since an earlier copy was sent
	}
	p.counts.Stops++
	plan.Stops = append(plan.Stops, p.stopOrder(r, now))
}

// stopOrder returns the next stop of a run. The run's next one is due once this one's answer
// could have come, or a later one if an answer shows that it can't be carried out yet.
func (p *Pool) stopOrder(r *run, now time.Time) StopOrder {
	r.stopSentAt, r.stopRetryAt = now, now.Add(p.timing.OrderTimeout)
	return StopOrder{
		Worker: r.worker.info.ID, Address: r.worker.info.Address, Task: r.id, Attempt: r.attempt, Token: p.callToken(r.worker), Incarnation: r.worker.incarnation,
		SentAt: now, Timeout: p.callTimeout(r.worker, p.timing.OrderTimeout, r.stopsLost), Copies: r.stopsLost,
	}
}

func (p *Pool) planRepeat(r *run, now time.Time, plan *Plan) {
	if r.task == nil || !r.absent {
		return // a poll's reply has to show first that no copy was carried out
	}
	if !r.mayRepeat(r.worker) {
		p.release(r)
		return
	}
	if retryAt := r.repeatAt(); now.Before(retryAt) {
		plan.wakeAt(retryAt)
		return
	}
	r.openUntil = Later(r.openUntil, p.copyOpenUntil(r))
	r.worker.openStart(r.openUntil)
	r.resentAt = now
	r.copies++
	r.sent(p.startToken(r.worker))
	p.counts.Repeats++
	plan.Starts = append(plan.Starts, p.startOrder(r))
}

func (p *Pool) startOrder(r *run) StartOrder {
	r.timeout = p.startTimeout(r)
	return StartOrder{
		Worker: r.worker.info.ID, Address: r.worker.info.Address, Incarnation: r.incarnation, Task: r.id, Attempt: r.attempt,
		Spec: r.stage.job.sub.Spec, Checkpoint: r.checkpoint, Ticket: r.ticket, Token: r.token, Deadline: r.deadline, SentAt: r.sentAt(), Timeout: r.timeout, Copies: r.copies,
		LeaseEndsAt: r.worker.expiresAt, ClockReadAt: r.trace.clockReadAt,
	}
}

// planStarts starts the tasks that may start and for which a worker is free, job by job
// in the order of their ranks.
func (p *Pool) planStarts(now, wall time.Time, plan *Plan) {
	p.startCandidates.reset(p.workers, now)
	p.beginQuotaPlan()
	p.rankJobs(now)
	p.advice.beginPlan()
	p.placeWaits.beginPlan()
	p.planHeldStage(now, plan)
	p.waitingStages = p.waitingStages[:0]
	for _, j := range p.ranking.jobs {
		p.openDue(j, wall.Add(p.timing.StartEarly))
		for _, o := range j.occurrences {
			if o.due.After(wall.Add(p.timing.StartEarly)) {
				break
			}
			for _, s := range o.stages {
				if s.incomplete > 0 && o.stageReady(s) {
					p.planStage(s, now, plan)
				}
			}
		}
	}
	p.planDeferredAdvice(now, plan)
}

// rankJobs sorts the jobs that have not ended by rank.
func (p *Pool) rankJobs(now time.Time) {
	p.updateTeams(now)
	p.ranking.rank(func(j *job) rank {
		r := p.rank(j, now)
		p.rankTeam(j, &r)
		return r
	})
}

func (p *Pool) planStage(s *stage, now time.Time, plan *Plan) {
	if s.job.sub.Advice != nil && !s.tickets.valid(now) {
		p.planAdvice(s, now, plan)
		return
	}
	if s.step.Gang {
		p.planGang(s, now, plan)
		return
	}
	for _, t := range s.tasks {
		if !t.startable(now) || p.mayRunUnderFormerOwner(t) {
			continue
		}
		if !p.teamHasRoom(s, 1, now) {
			return
		}
		w := p.place(t)
		if w == nil && len(p.openStarts[t.id]) > 0 {
			continue // unlike the other tasks of its step, it may not start anywhere
		}
		if w == nil {
			p.waitsForRoom(s, now)
			p.planMoreAdvice(s, now, plan)
			return // the tasks of a step are alike: the others would not fit either
		}
		if p.awaitsPlace(s, []*task{t}, []*worker{w}, now, plan) {
			continue
		}
		plan.Starts = append(plan.Starts, p.startOrder(p.start(t, w, p.nextAttempt(t), t.checkpoint, now)))
	}
}

// nextAttempt returns the number of the task's next attempt.
func (p *Pool) nextAttempt(t *task) int {
	if p.openStarts.attemptNotRun(t.id, t.attempt) {
		return t.attempt
	}
	return t.attempt + 1
}

// planGang starts all tasks of a gang, or none. They share one attempt number and one
// checkpoint.
func (p *Pool) planGang(s *stage, now time.Time, plan *Plan) {
	attempt, checkpoint := 0, ""
	for _, t := range s.tasks {
		if !t.startable(now) || p.mayRunUnderFormerOwner(t) {
			return
		}
		attempt = max(attempt, t.attempt)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	if !p.teamHasRoom(s, len(s.tasks), now) {
		return
	}
	workers := p.placeGang(s)
	if workers == nil {
		p.waitsForRoom(s, now)
		p.planMoreAdvice(s, now, plan)
		return
	}
	if p.awaitsPlace(s, s.tasks, workers, now, plan) {
		return
	}
	for i, w := range workers {
		plan.Starts = append(plan.Starts, p.startOrder(p.start(s.tasks[i], w, attempt+1, checkpoint, now)))
	}
}

// start records that t is ordered to start on w, and returns its run.
func (p *Pool) start(t *task, w *worker, attempt int, checkpoint string, now time.Time) *run {
	s := t.stage
	r := &run{
		id: t.id, attempt: attempt, worker: w, incarnation: w.incarnation, orderedAt: now, reserved: s.step.reserved(), checkpoint: checkpoint,
		deadline: w.clock.leaseDeadline(now, &p.timing), orderedPercent: fullSpeedPercent,
		ticket: s.tickets.byWorker[w.info.ID], charge: p.chargeStart(s, w),
	}
	r.sent(p.startToken(w))
	t.attempt = attempt
	s.noRoomSince = time.Time{}
	w.runs[runKey{t.id, attempt}] = r
	w.used = w.used.Plus(r.reserved)
	p.startCandidates.maxFreeStale = true
	w.expiresAt = Later(w.expiresAt, now.Add(p.timing.granted()))
	w.leaseSentAt = now
	p.bind(r, t)
	p.noteStart(r)
	p.giveWork(s.job, s.step, p.durations.expectedTask(s.job.sub.Queue, s.step.Estimate), now)
	p.counts.Starts++
	return r
}
