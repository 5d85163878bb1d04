package scheduler

import "time"

// AddJob adds a job that was just accepted or that a former owner left. created is the
// store revision at which it was accepted, revision that of progress. A job that the
// pool has, or has removed after its end, is ignored.
func (p *Pool) AddJob(sub Submission, created, revision int64, progress Progress, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.jobs[sub.ID]; known {
		return
	}
	if p.endedJobs[sub.ID] {
		return // it was read from the store before its removal
	}
	j := newJob(&sub, created, revision, progress.clone())
	if created <= p.token {
		j.firstAttempt = (p.epoch - 1) * attemptsPerEpoch
	}
	j.account = p.teams.Account(sub.Team)
	j.beyond = !j.account.Accept(p.jobWork(j), sub.AcceptedAt) && !j.lasting
	p.jobs[sub.ID] = j
	p.jobOrder = append(p.jobOrder, j)
	p.ranking.add(j)
	if progress.State.Final() {
		j.endSaved, j.removeWhenIdle, j.endedAt = true, true, now
		return
	}
	if revision, cancelled := p.pendingCancels[sub.ID]; cancelled {
		delete(p.pendingCancels, sub.ID)
		p.cancel(j, revision)
		return
	}
	p.openDue(j, now)
	if created > p.token && len(j.occurrences) > 0 {
		p.addArrival(j, now)
	}
}

// HasJob reports whether the pool has the job, or had it until it ended.
func (p *Pool) HasJob(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.jobs[id]
	return known || p.endedJobs[id]
}

// openDue opens the occurrences that are due at now.
func (p *Pool) openDue(j *job, now time.Time) {
	for len(j.occurrences) < j.due {
		due := j.sub.DueAt(len(j.occurrences))
		if due.After(now) {
			return
		}
		j.openOccurrence()
	}
}

// taskOf returns the task with the given ID, or nil. It opens the task's occurrence if
// needed: a former owner, whose time of day may be ahead, can have started the task
// before it is due here.
func (p *Pool) taskOf(j *job, id TaskID) *task {
	if !j.progress.State.Final() && id.Occurrence < min(j.due, len(j.occurrences)+maxOccurrencesAhead) {
		for len(j.occurrences) <= id.Occurrence {
			j.openOccurrence()
		}
	}
	return j.task(id)
}

// maxOccurrencesAhead bounds the occurrences by which a former owner can be ahead.
const maxOccurrencesAhead = 64

// CancelJob records that a job was cancelled. revision is the store revision of its
// saved state.
func (p *Pool) CancelJob(id string, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[id]
	if !ok {
		p.addPendingCancel(id, revision)
		return
	}
	p.cancel(j, revision)
}

// addPendingCancel remembers a cancellation that was received before its job, unless
// the job has ended.
func (p *Pool) addPendingCancel(id string, revision int64) {
	if p.endedJobs[id] {
		return
	}
	if len(p.pendingCancels) >= maxPendingCancels {
		clear(p.pendingCancels) // the save of a job whose cancellation is dropped here conflicts, which shows it
	}
	p.pendingCancels[id] = revision
}

// maxPendingCancels bounds the cancellations that wait for their jobs.
const maxPendingCancels = 1024

func (p *Pool) cancel(j *job, revision int64) {
	if j.progress.State == Cancelled {
		return
	}
	j.revision = max(j.revision, revision)
	j.progress.State = Cancelled
	j.endSaved, j.endedAt = true, p.wallTime
	p.counts.Cancelled++
	p.stopRuns(j)
	p.markUnsaved(j, false)
}

// stopRuns requests a stop of all runs of a job that has ended.
func (p *Pool) stopRuns(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			for _, t := range s.tasks {
				if t.run != nil {
					t.run.requestStop()
				}
			}
		}
	}
}

// markUnsaved records a change of the job's progress that has to be saved. urgent means
// that callers wait for it.
func (p *Pool) markUnsaved(j *job, urgent bool) {
	p.changeSequence++
	if j.dirtyFrom == 0 {
		j.dirtyFrom = p.changeSequence
		p.unsavedJobs[j] = true
	}
	j.dirtyTo = p.changeSequence
	j.urgentSave = j.urgentSave || urgent
}

// completeTask records that a task is done, and stops a run of it that still goes on.
func (p *Pool) completeTask(t *task) {
	j := t.stage.job
	if t.done || j.progress.State.Final() {
		return
	}
	t.done = true
	t.checkpoint = ""
	if t.run != nil {
		t.run.requestStop()
	}
	j.estimatedAt = time.Time{}
	j.progress.markDone(t.flat)
	t.stage.incomplete--
	if t.stage.incomplete == 0 {
		p.completeStage(t.stage)
	}
	p.markUnsaved(j, j.progress.State.Final())
}

func (p *Pool) completeStage(s *stage) {
	j := s.job
	if s.longestTask > 0 {
		p.durations.addStep(j.sub.Queue, s.longestTask)
	}
	o := j.occurrences[s.occurrence]
	o.incompleteStages--
	if o.incompleteStages > 0 {
		return
	}
	j.ended++
	if j.complete() {
		j.progress.State = Completed
		j.endedAt = p.wallTime
		p.counts.Completed++
	}
}

// runFailed records that a run of t failed on w. The job fails once one of its tasks has
// failed MaxFailures times. The failures of a gang are counted on its first task, and
// those of long-running tasks are not limited.
func (p *Pool) runFailed(t *task, attempt int, w *worker, now time.Time) {
	j, s := t.stage.job, t.stage
	t.avoidWorker = w.info.ID
	p.counts.FailedRuns++
	w.failed(j.sub.ID, now, &p.timing)
	if now.Before(w.suspendedUntil) {
		p.counts.Suspended++
	}
	if s.step.LongRunning || j.progress.State.Final() {
		return
	}
	flat := t.flat
	if s.step.Gang {
		flat = s.tasks[0].flat
	}
	failures, counted := j.progress.markFailed(flat, attempt)
	if !counted {
		return
	}
	if j.sub.MaxFailures > 0 && failures >= j.sub.MaxFailures {
		j.progress.State = Failed
		j.endedAt = p.wallTime
		p.counts.FailedJobs++
		p.stopRuns(j)
	}
	p.markUnsaved(j, j.progress.State.Final())
}

// removeEndedJobs removes jobs that have no run left and whose submissions are removed
// from the store. A job whose end was saved while it still had runs is marked as unsaved
// once they are gone, so that a further save removes its submission.
func (p *Pool) removeEndedJobs(now time.Time) {
	for len(p.endedOrder) > 0 && now.Sub(p.endedOrder[0].removedAt) > endedJobRetention {
		delete(p.endedJobs, p.endedOrder[0].id)
		p.endedOrder = p.endedOrder[1:]
	}
	remaining := p.jobOrder[:0]
	for _, j := range p.jobOrder {
		if j.removeWhenIdle && j.activeRuns == 0 && j.dirtyFrom == 0 {
			j.removeWhenIdle = false
			p.markUnsaved(j, false)
		}
		if j.submissionRemoved && j.activeRuns == 0 && j.dirtyFrom == 0 {
			delete(p.jobs, j.sub.ID)
			p.endedJobs[j.sub.ID] = true
			p.endedOrder = append(p.endedOrder, endedJob{id: j.sub.ID, removedAt: now})
			continue
		}
		remaining = append(remaining, j)
	}
	clear(p.jobOrder[len(remaining):])
	p.jobOrder = remaining
}

// endedJobRetention is how long the ID of a removed job is remembered. A read of the
// store or a notice that still shows the job takes less.
const endedJobRetention = 2 * time.Minute

// attemptsPerEpoch separates the attempt numbers of one owner from those of the next,
// which does not know the numbers used on workers that are gone. No owner comes near
// it: a task may fail only a few times.
const attemptsPerEpoch = 1000
