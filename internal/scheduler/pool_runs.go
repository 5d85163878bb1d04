package scheduler

import "time"

// meetRun takes in a run that this owner did not order: it is taken over when
// its task needs it, and stopped otherwise.
func (p *Pool) addUnorderedRun(w *worker, report *RunReport, now time.Time) *run {
	r := &run{id: report.Task, attempt: report.Attempt, worker: w, phase: running, orderedAt: now, answeredAt: now, orderedPercent: report.Percent}
	r.requestStop()
	w.runs[runKey{report.Task, report.Attempt}] = r
	j := p.jobs[report.Task.Job]
	if j == nil {
		if _, over := p.endedJobs[report.Task.Job]; !over {
			p.addEvent(Event{Kind: UnknownRun, Worker: w.info.ID, Task: report.Task, Attempt: report.Attempt}, now)
		}
		r.unknownJob = true
		w.unknownRuns++
		return r
	}
	r.reserved = j.reserved(report.Task.Step)
	w.used = w.used.Plus(r.reserved)
	t := p.taskOf(j, report.Task)
	if t == nil {
		return r
	}
	t.attempt = max(t.attempt, report.Attempt)
	if t.done || t.run != nil || j.progress.State.Final() {
		return r
	}
	p.bind(r, t)
	r.wantStop = false
	w.expiresAt = Later(w.expiresAt, now.Add(p.timing.granted())) // by the earlier owner
	p.counts.Adopted++
	return r
}

// bind makes r the run of t.
func (p *Pool) bind(r *run, t *task) {
	r.task, r.stage = t, t.stage
	t.run = r
	t.stage.job.activeRuns++
}

// begun takes in that a worker has taken a task of the job.
func (p *Pool) markActive(j *job) {
	if j.progress.State == Queued {
		j.progress.State = Active
		p.markUnsaved(j, false)
	}
}

// resolve ends the runs of which the poll shows that they are not there and
// never will be.
func (p *Pool) releaseEnded(w *worker, reply *PollReply, listed map[runKey]bool) {
	for key, r := range w.runs {
		if !listed[key] && hasEnded(r, reply) {
			p.release(r)
			p.counts.Lost++
		}
	}
}

// absent reports whether a poll that does not list r shows that it is over: it
// was there before the poll was sent, it was stopped before that, or its order
// is too late by now.
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
