package scheduler

import "time"

// NextPoll returns the request for the worker's next poll, and whether a poll is due. It
// is due if something may run there, if the worker has not answered this owner or did
// not answer last, or if ends are not acknowledged yet. A worker is polled by one
// goroutine, so the poll before is over, also if its outcome was never told.
func (p *Pool) NextPoll(id string, now time.Time) (PollRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if ok {
		w.pollOver()
	}
	if !ok || !w.needsPoll() || !w.listed && now.After(w.expiresAt) {
		return PollRequest{}, false
	}
	w.polledAt, w.polledAddress, w.polledIncarnation, w.polledTimeout = now, w.info.Address, w.incarnation, p.replyTimeout(w)
	req := PollRequest{Worker: id, Address: w.info.Address, Token: p.callToken(w), Incarnation: w.incarnation, Timeout: w.polledTimeout, ShortWait: p.isLossy(w)}
	for _, r := range w.runs {
		req.AtOnce = req.AtOnce || r.phase == startUnknown && !r.absent && r.token < req.Token
	}
	if ackable := w.ackable(now); ackable > w.ackedEnds && w.mayAckEnds(now) {
		req.AckedEnds, w.ackedIncarnation, w.ackToken = ackable, w.incarnation, req.Token
	}
	if !w.pollSentAt.IsZero() && w.clock.known() {
		req.Deadline = w.clock.leaseDeadline(now, &p.timing)
		w.leaseSentAt = now
		w.expiresAt = Later(w.expiresAt, now.Add(p.timing.granted()))
		if !w.endsKnown {
			w.extendUnknownRuns(w.expiresAt)
		}
	}
	return req, true
}

// ApplyPoll applies a worker's reply. It returns false if the pool does not have the
// worker, or the reply is not from the worker's present incarnation: only the ends in it
// are applied then.
func (p *Pool) ApplyPoll(reply PollReply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[reply.Worker]
	if !ok {
		return false
	}
	w.pollOver()
	if reply.Token >= w.ackToken {
		w.ackToken = 0
	}
	if w.lost || reply.Incarnation < w.incarnation || w.formerIncarnation != 0 && reply.Incarnation == w.formerIncarnation {
		if !p.loading {
			p.applyFormerEnds(w, &reply)
		}
		if w.lost {
			p.incarnationEnded(w)
		}
		return false
	}
	if p.loading {
		p.applyContact(w, &reply)
		return true
	}
	first := !w.fenced
	p.applyIdentity(w, &reply)
	if first {
		p.endFormerIncarnations(reply.ReceivedAt)
	}
	p.applyEnds(w, &reply)
	listed := p.applyRunning(w, &reply)
	w.listsMore = reply.Partial
	if !reply.Partial {
		p.releaseEnded(w, &reply, listed)
		w.endsKnown = true
		w.seenToken = max(w.seenToken, reply.Token)
		delete(p.awaited, reply.Worker)
	}
	return true
}

// applyIdentity applies the incarnation and the clock of a reply. If a later
// incarnation has answered, its ends are numbered anew.
func (p *Pool) applyIdentity(w *worker, reply *PollReply) {
	if !w.fenced {
		p.addEvent(Event{Kind: WorkerFenced, Worker: reply.Worker, Incarnation: reply.Incarnation}, reply.ReceivedAt)
	}
	if w.incarnation != 0 && reply.Incarnation > w.incarnation {
		p.addEvent(Event{Kind: NewIncarnationAnswered, Worker: reply.Worker, Number: w.ackableEnds, Incarnation: reply.Incarnation, FormerIncarnation: w.incarnation}, reply.ReceivedAt)
		p.workerRestarted(w)
		w.appliedEnds, w.ackableEnds, w.ackedEnds, w.endMarks, w.heldUpTo, w.unsavedEnds, w.heldEnds = 0, 0, 0, nil, 0, nil, nil
		w.endsKnown, w.seenToken, w.startsRefused = false, 0, 0
		// A relay may keep a connection open over the restart. An order that was sent
		// on it carries a deadline on the clock of the former incarnation.
		w.expiresAt = Later(w.expiresAt, reply.ReceivedAt.Add(p.timing.longest()))
	}
	w.answered(reply, &p.timing)
	p.noteReply(w, reply)
	w.fenced = true
	if reply.Incarnation == w.ackedIncarnation { // another one has ends of its own with these numbers
		w.ackedEnds = max(w.ackedEnds, reply.AckedEnds)
	}
}

func (p *Pool) applyEnds(w *worker, reply *PollReply) {
	for i := range reply.Ends {
		e := &reply.Ends[i]
		if e.Number <= w.appliedEnds {
			continue
		}
		w.appliedEnds = e.Number
		if e.Task.Job != "" { // an end that could not be decoded names no task
			w.unsavedEnds = append(w.unsavedEnds, unsavedEnd{number: e.Number, task: e.Task})
		}
		if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
			p.noteCarriedOut(r)
			r.seen(reply.Incarnation, &p.timing)
			if r.phase != running {
				w.startsRefused = 0
			}
		}
		p.applyEnd(w, e, reply.ReceivedAt)
		p.holdEnd(w, e, reply.ReceivedAt)
	}
	if n := len(w.endMarks); w.appliedEnds > w.ackableEnds && (n == 0 || w.endMarks[n-1].endNumber < w.appliedEnds) {
		w.endMarks = append(w.endMarks, endMark{changeSequence: p.changeSequence, endNumber: w.appliedEnds})
		p.unackedWorkers[w] = true
	}
	p.advanceAckable()
}

func (p *Pool) applyEnd(w *worker, e *EndReport, now time.Time) {
	r := w.runs[runKey{e.Task, e.Attempt}]
	if r != nil {
		p.release(r)
	}
	j := p.jobs[e.Task.Job]
	if j == nil {
		if !p.endedJobs[e.Task.Job] {
			p.addEvent(Event{Kind: UnknownEnd, Worker: w.info.ID, Task: e.Task, Attempt: e.Attempt, Number: e.Number}, now)
		}
		return
	}
	t := p.taskOf(j, e.Task)
	if t == nil {
		return
	}
	t.attempt = max(t.attempt, e.Attempt)
	t.noteEnd(w, w.incarnation, e)
	p.markActive(j)
	switch e.Kind {
	case EndDone:
		p.applyDone(w, t, r, now)
	case EndFailed:
		p.runFailed(t, e.Attempt, w, now)
	case EndLeaseExpired:
		p.counts.Lapsed++
	case EndGangBroken, EndIncompleteGang:
		p.counts.Broken++
	case EndStopped:
	}
	if !t.done && t.stage.step.Checkpointing && e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
}

func (p *Pool) applyDone(w *worker, t *task, r *run, now time.Time) {
	p.counts.Done++
	w.succeeded()
	s := t.stage
	if s.step.LongRunning {
		return
	}
	if r != nil && r.task == t && !r.answeredAt.IsZero() { // a run that t does not need was not ordered by this owner
		took := now.Sub(r.orderedAt)
		p.giveWork(s.job, s.step, took-p.durations.expectedTask(s.job.sub.Queue, s.step.Estimate), now)
		p.durations.addTask(s.job.sub.Queue, took)
		p.learnRunTime(s, w, took)
		s.longestTask = max(s.longestTask, took)
	}
	if !s.step.Gang {
		p.completeTask(t)
		return
	}
	for _, member := range s.tasks {
		p.completeTask(member)
	}
}

// applyRunning applies the list of runs of a reply, and returns the keys of those runs.
func (p *Pool) applyRunning(w *worker, reply *PollReply) map[runKey]bool {
	listed := make(map[runKey]bool, len(reply.Running))
	for i := range reply.Running {
		report := &reply.Running[i]
		key := runKey{report.Task, report.Attempt}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = p.addUnorderedRun(w, report, reply.ReceivedAt)
		}
		p.noteCarriedOut(r)
		if r.phase == starting || r.phase == startUnknown {
			r.phase = running
			r.answeredAt = reply.ReceivedAt
			w.startsRefused = 0
		}
		r.seen(reply.Incarnation, &p.timing)
		r.trace.listedBy = reply.Incarnation
		if r.stage != nil {
			p.markActive(r.stage.job)
		}
		r.percent, r.latencyOrUsage, r.reportedAt = report.Percent, report.LatencyOrUsage, reply.SentAt
		if r.task != nil && r.stage.step.Checkpointing && report.Checkpoint != "" {
			r.task.checkpoint = report.Checkpoint
		}
	}
	return listed
}

// PollFailed records that a poll of the worker had the given result instead of a reply. It
// reports whether the next poll is due at once: the worker answers others, and this one
// waited for a short time only, maxHasty times in a row at most, or it was withdrawn or superseded.
func (p *Pool) PollFailed(id string, result OrderResult, now time.Time) (again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return false
	}
	requestedAt := w.polledAt
	w.pollOver()
	if result == OtherIncarnation && w.isPresent(w.polledAddress, w.polledIncarnation) {
		p.otherAtAddress(w, now)
		return false
	}
	if w.lost {
		p.incarnationEnded(w)
		return false
	}
	switch result {
	case Superseded:
		return true // a start has overtaken it: the next one has the token that the worker has seen
	case OtherIncarnation:
		return false // it says nothing of the present incarnation
	default:
	}
	w.raiseToken()
	if result == Withdrawn {
		w.pollSentAt = time.Time{}
		return true
	}
	w.reachable, w.silent, w.pollSentAt = false, true, time.Time{}
	if p.countPollFailure(w, now.Sub(requestedAt)) {
		p.noteLost(w)
		return true // no start before the next reply
	}
	w.block(now.Add(blockAfterFailure))
	return false
}
