package scheduler

import "time"

// addUnorderedRun adds a run that a worker reports and this owner did not order. The
// run is taken over if its task needs one, and stopped otherwise.
func (p *Pool) addUnorderedRun(w *worker, report *RunReport, now time.Time) *run {
	r := &run{id: report.Task, attempt: report.Attempt, worker: w, phase: running, orderedAt: now, answeredAt: now, orderedPercent: report.Percent}
	r.requestStop()
	p.unneededRuns[r.id]++
	defer p.noteTakenOver(w, r, now)
	w.runs[runKey{report.Task, report.Attempt}] = r
	j := p.jobs[report.Task.Job]
	if j == nil {
		if !p.endedJobs[report.Task.Job] {
			p.addEvent(Event{Kind: UnknownRun, Worker: w.info.ID, Task: report.Task, Attempt: report.Attempt}, now)
		}
		r.unknownJob = true
		w.unknownRuns++
		if open := p.openStarts[report.Task]; len(open) > 0 {
			p.chargeAdopted(r, open[0].charge)
		}
		return r
	}
	r.reserved = j.reserved(report.Task.Step)
	w.used = w.used.Plus(r.reserved)
	p.chargeAdopted(r, j.charge(report.Task.Step))
	t := p.taskOf(j, report.Task)
	if t == nil {
		return r
	}
	t.attempt = max(t.attempt, report.Attempt)
	if t.done || t.run != nil || j.progress.State.Final() {
		return r
	}
	p.dropUnneeded(r.id)
	p.bind(r, t)
	r.wantStop = false
	w.expiresAt = Later(w.expiresAt, now.Add(p.timing.longest())) // it may have begun on a start that was meant for another incarnation
	p.counts.Adopted++
	return r
}

// dropUnneeded records that a run of the task that was not needed is over or is needed now.
func (p *Pool) dropUnneeded(id TaskID) {
	if p.unneededRuns[id]--; p.unneededRuns[id] <= 0 {
		delete(p.unneededRuns, id)
	}
}

// bind makes r the run of t.
func (p *Pool) bind(r *run, t *task) {
	r.task, r.stage = t, t.stage
	t.run = r
	t.stage.job.activeRuns++
}

// markActive records that a worker has accepted a task of the job.
func (p *Pool) markActive(j *job) {
	if j.progress.State == Queued {
		j.progress.State = Active
		p.markUnsaved(j, false)
	}
}

// releaseEnded releases the runs that have ended, or will never start, as the poll
// reply shows.
func (p *Pool) releaseEnded(w *worker, reply *PollReply, listed map[runKey]bool) {
	for key, r := range w.runs {
		if listed[key] {
			continue
		}
		r.absent = r.phase == startUnknown && reply.Token > r.token
		if hasEnded(r, reply) || r.absent && !r.mayRepeat(w) {
			p.noteGivenUp(r, r.absence())
			p.release(r)
			p.counts.Lost++
		}
	}
}

// absence returns why a run is given up that a reply lists neither as running nor as ended.
func (r *run) absence() RunOutcome {
	if r.outdated {
		return EndNotListed
	}
	return NotListed
}

// mayRepeat reports whether the start of a run that is absent may be sent again. Nothing
// starts on a worker that drains.
func (r *run) mayRepeat(w *worker) bool {
	return r.task != nil && !r.refused && !r.wantStop && r.incarnation == w.incarnation && w.listed && !w.info.Draining
}

// hasEnded reports whether a poll reply that does not list r shows that r has ended or
// will never start: the run was there before the poll was sent, it was stopped before
// that, or the deadline of its start has passed on the worker's clock.
func hasEnded(r *run, reply *PollReply) bool {
	switch {
	case !r.answeredAt.IsZero():
		return reply.SentAt.After(r.answeredAt)
	case r.phase == starting:
		return false
	case !r.stoppedAt.IsZero() && reply.SentAt.After(r.stoppedAt):
		return true
	}
	return r.deadline > 0 && reply.Clock > r.deadline
}
