package scheduler

import "time"

// NextPoll returns what the worker is to be asked, and whether a poll is due:
// something runs there, it has not seen this owner yet, or it can forget ends.
func (p *Pool) NextPoll(id string, now time.Time) (PollRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok || !w.needsPoll() || !w.listed && now.After(w.expiresAt) {
		return PollRequest{}, false
	}
	req := PollRequest{Worker: id, Address: w.info.Address, Token: p.token}
	if w.ackableEnds > w.ackedEnds && w.mayAckEnds(now) {
		req.AckedEnds = w.ackableEnds
	}
	if w.fenced && !w.pollSentAt.IsZero() && w.clock.known() {
		req.Deadline = w.clock.ahead(now, &p.timing)
		w.expiresAt = Later(w.expiresAt, now.Add(p.timing.granted()))
	}
	return req, true
}

// HasUnsavedEnds reports whether ends of the worker wait for their change to be saved.
func (p *Pool) HasUnsavedEnds(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	return ok && w.appliedEnds > w.ackableEnds
}

// HasWorker reports whether the worker is one of the pool's.
func (p *Pool) HasWorker(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.workers[id]
	return ok
}

// HasRuns reports whether something runs, or may run, on the worker.
func (p *Pool) HasRuns(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	return ok && len(w.runs) > 0
}

// ApplyPoll takes in a worker's answer; false when it is not that of the worker's
// present incarnation.
func (p *Pool) ApplyPoll(l PollReply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[l.Worker]
	if !ok || w.lost || l.Incarnation < w.incarnation || w.formerIncarnation != 0 && l.Incarnation == w.formerIncarnation {
		return false
	}
	first := !w.fenced
	p.applyIdentity(w, &l)
	if first {
		p.endFormerIncarnations(l.ReceivedAt)
	}
	p.applyEnds(w, &l)
	listed := p.applyRows(w, &l)
	if !l.Partial {
		p.resolve(w, &l, listed)
	}
	delete(p.awaited, l.Worker)
	return true
}

// applyIdentity takes in who answered, and its clock.
func (p *Pool) applyIdentity(w *worker, l *PollReply) {
	if !w.fenced {
		p.addEvent(Event{Kind: WorkerFenced, Worker: l.Worker, Incarnation: l.Incarnation}, l.ReceivedAt)
	}
	if w.incarnation != 0 && l.Incarnation > w.incarnation {
		p.addEvent(Event{Kind: NewIncarnationAnswered, Worker: l.Worker, Number: w.ackableEnds, Incarnation: l.Incarnation}, l.ReceivedAt)
		p.workerRestarted(w)
		w.appliedEnds, w.ackableEnds, w.ackedEnds, w.marks, w.unsavedEnds = 0, 0, 0, nil, nil
	}
	w.incarnation = l.Incarnation
	w.clock = clockReading{at: l.ReceivedAt, millis: l.Clock}
	w.fenced = true
	w.reachable, w.silent = true, false
	w.pollSentAt, w.pollAnsweredAt = l.SentAt, l.ReceivedAt
	w.ackedEnds = max(w.ackedEnds, l.AckedEnds)
}

func (p *Pool) applyEnds(w *worker, l *PollReply) {
	for i := range l.Ends {
		e := &l.Ends[i]
		if e.Number <= w.appliedEnds {
			continue
		}
		w.appliedEnds = e.Number
		if e.Task.Job != "" { // an end that was not understood names no task
			w.unsavedEnds = append(w.unsavedEnds, unsavedEnd{number: e.Number, task: e.Task})
		}
		p.applyEnd(w, e, l.ReceivedAt)
	}
	if n := len(w.marks); w.appliedEnds > w.ackableEnds && (n == 0 || w.marks[n-1].number < w.appliedEnds) {
		w.marks = append(w.marks, endMark{change: p.sequence, number: w.appliedEnds})
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
		if _, over := p.ended[e.Task.Job]; !over {
			p.addEvent(Event{Kind: UnknownEnd, Worker: w.info.ID, Task: e.Task, Attempt: e.Attempt, Number: e.Number}, now)
		}
		return
	}
	t := p.taskOf(j, e.Task)
	if t == nil {
		return
	}
	t.attempt = max(t.attempt, e.Attempt)
	p.begun(j)
	switch e.Kind {
	case EndDone:
		p.applyDone(w, t, r, now)
	case EndFailed:
		p.failRun(t, e.Attempt, w, now)
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
	if r != nil && !r.answeredAt.IsZero() {
		took := now.Sub(r.orderedAt)
		p.learned.learn(s.job.sub.Queue, took)
		s.longest = max(s.longest, took)
	}
	if !s.step.Gang {
		p.finish(t)
		return
	}
	for _, member := range s.tasks {
		p.finish(member)
	}
}

// applyRows takes in what runs on w and returns which runs are listed.
func (p *Pool) applyRows(w *worker, l *PollReply) map[runKey]bool {
	listed := make(map[runKey]bool, len(l.Running))
	for i := range l.Running {
		row := &l.Running[i]
		key := runKey{row.Task, row.Attempt}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = p.meetRun(w, row, l.ReceivedAt)
		}
		if r.phase == starting || r.phase == startUnknown {
			r.phase = running
			r.answeredAt = l.ReceivedAt
		}
		r.confirm()
		if r.stage != nil {
			p.begun(r.stage.job)
		}
		r.percent, r.gauge = row.Percent, row.Gauge
		if r.task != nil && r.stage.step.Checkpointing && row.Checkpoint != "" {
			r.task.checkpoint = row.Checkpoint
		}
	}
	return listed
}

// PollFailed takes in that a worker did not answer a poll.
func (p *Pool) PollFailed(id string, answer OrderResult, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return
	}
	if answer == OtherIncarnation {
		p.addEvent(Event{Kind: OtherIncarnationAtAddress, Worker: id}, now)
		p.supersededAtAddress(w)
		return
	}
	w.reachable, w.silent, w.pollSentAt = false, true, time.Time{}
	w.block(now.Add(blockAfterFailure))
}

// supersededAtAddress takes in that another incarnation answers at the worker's address.
func (p *Pool) supersededAtAddress(w *worker) {
	p.incarnationEnded(w)
	w.lost = true
	w.reachable = false
}

// blockAfterFailure is how long a worker that did not answer gets no new task:
// about the time of a retry on a fresh connection.
const blockAfterFailure = 300 * time.Millisecond
