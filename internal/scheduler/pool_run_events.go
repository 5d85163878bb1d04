package scheduler

import "time"

// maxRunEvents bounds the events about runs that wait for TakeEvents: two for each
// worker of a pool at the target size. The rest of maxEvents is left to rarer events.
const maxRunEvents = 2048

// addRunEvent adds an event about a run. Beyond maxRunEvents it only counts the event.
func (p *Pool) addRunEvent(e *Event) {
	if len(p.events) >= maxRunEvents {
		p.counts.Untold++
		return
	}
	p.events = append(p.events, *e)
}

// noteTakenOver adds the event of a run that w lists at now and this owner did not order.
// The former owner may have extended its lease until now.
func (p *Pool) noteTakenOver(w *worker, r *run, now time.Time) {
	kind := RunTakenOver
	if r.task == nil {
		kind = RunNotNeeded
	}
	p.addRunEvent(&Event{Kind: kind, Worker: w.info.ID, Task: r.id, Attempt: r.attempt, Incarnation: w.incarnation, LeaseEndsAt: Later(w.expiresAt, now.Add(p.timing.granted()))})
}

// noteGivenUp adds the event of a run that is released without a reported end.
func (p *Pool) noteGivenUp(r *run, why RunOutcome) {
	p.addRunEvent(&Event{
		Kind: RunGivenUp, Worker: r.worker.info.ID, Task: r.id, Attempt: r.attempt, Incarnation: r.ranOn(), Outcome: why,
		LeaseEndsAt: r.worker.expiresAt, ReportedAt: r.reportedAt, OrderedAt: r.orderedAt, AnsweredAt: r.answeredAt,
	})
	if r.task != nil {
		r.task.noteFormer(FormerRun{Worker: r.worker.info.ID, Incarnation: r.ranOn(), Attempt: r.attempt, Outcome: why})
	}
}

// noteAwaitedOver adds the event of a worker that may run tasks of a former owner and has
// not listed them all, when their leases are over.
func (p *Pool) noteAwaitedOver(id string, end time.Time) {
	if a := p.awaited[id]; a.tasksKnown && len(a.tasks) == 0 {
		return
	}
	p.addRunEvent(&Event{Kind: FormerRunsGivenUp, Worker: id, Outcome: LeaseOver, LeaseEndsAt: end})
}

// noteStart records on which clock reading the start of r rests, and adds an event if the
// task ran on another worker or incarnation before.
func (p *Pool) noteStart(r *run) {
	r.trace.clockReadAt = r.worker.clock.readAt
	f := r.task.former
	if f == nil || f.Worker == r.worker.info.ID && f.Incarnation == r.worker.incarnation {
		return
	}
	p.addRunEvent(&Event{Kind: StartedElsewhere, Worker: r.worker.info.ID, Task: r.id, Attempt: r.attempt, Incarnation: r.incarnation, Former: *f})
}

// noteEnd records an end that an incarnation of w reported, unless no start can follow it.
func (t *task) noteEnd(w *worker, incarnation int64, e *EndReport) {
	if e.Kind == EndDone && !t.stage.step.LongRunning {
		return
	}
	t.noteFormer(FormerRun{Worker: w.info.ID, Incarnation: incarnation, Attempt: e.Attempt, Outcome: RunOutcome(e.Kind)})
}

// noteFormer records the task's last run, unless a later attempt is known.
func (t *task) noteFormer(f FormerRun) {
	if t.former == nil || f.Attempt >= t.former.Attempt {
		t.former = &f
	}
}

// ranOn returns the incarnation that listed the run, or else the one that its start is for;
// 0: unknown.
func (r *run) ranOn() int64 {
	if r.trace.listedBy != 0 {
		return r.trace.listedBy
	}
	return r.incarnation
}

// lastIncarnation returns the incarnation that answered last, or else the listed one; 0: unknown.
func (w *worker) lastIncarnation() int64 {
	if w.incarnation != 0 {
		return w.incarnation
	}
	return w.info.Incarnation
}
