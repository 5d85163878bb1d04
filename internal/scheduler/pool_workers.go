package scheduler

import (
	"slices"
	"strings"
	"time"
)

// SetWorkers applies the platform's list of the service's workers. It returns the IDs of those
// that were not listed before, or not as this incarnation: their polls may be due from now on.
func (p *Pool) SetWorkers(infos []WorkerInfo, now time.Time) (listed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[string]bool, len(infos))
	for i := range infos {
		seen[infos[i].ID] = true
		if p.setWorker(infos[i], now) {
			listed = append(listed, infos[i].ID)
		}
	}
	for id, w := range p.workers {
		if !seen[id] && w.listed {
			w.listed = false
		}
	}
	p.endFormerIncarnations(now)
	return listed
}

// endFormerIncarnations marks workers as lost whose machine runs a worker that started
// later: a machine runs one worker at a time. A listed worker that has not answered is
// no proof of that, since the entry may be wrong.
func (p *Pool) endFormerIncarnations(now time.Time) {
	newest := make(map[string]*worker, len(p.workers))
	for _, w := range p.workers {
		if w.info.Machine == "" || w.info.Incarnation == 0 || !w.fenced {
			continue
		}
		other := newest[w.info.Machine]
		if other == nil || w.info.Incarnation > other.info.Incarnation {
			newest[w.info.Machine] = w
		}
	}
	for _, w := range p.workers {
		if last := newest[w.info.Machine]; last != nil && w.info.Incarnation != 0 && w.info.Incarnation < last.info.Incarnation && !w.lost {
			p.addEvent(Event{Kind: MachineRestarted, Worker: w.info.ID}, now)
			p.replaceWorker(w)
		}
	}
}

// setWorker applies the entry of one worker. It reports whether the worker was not listed
// before, or not as this incarnation.
func (p *Pool) setWorker(info WorkerInfo, now time.Time) (isNew bool) {
	w, ok := p.workers[info.ID]
	if !ok {
		w = newWorker(info)
		w.tokenStep, w.openStartUntil = p.highestTokenStep, p.openStarts.untilOn(info.ID)
		w.listedAt = now
		w.offered, w.emptying = p.publishedOffers[info.Machine], p.emptied[info.Machine] || p.emptyClaims[info.Machine]
		p.workers[info.ID] = w
		return true
	}
	if w.lost && (info.Incarnation == 0 || info.Incarnation > w.info.Incarnation) || w.isOtherIncarnation(&info) {
		p.addEvent(Event{Kind: NewIncarnationListed, Worker: info.ID, Number: w.ackableEnds, Incarnation: info.Incarnation, FormerIncarnation: w.lastIncarnation()}, now)
		p.workerRestarted(w)
		next := newWorker(info)
		next.emptying, next.offered, next.listedAt, next.runs, next.used, next.unknownRuns = w.emptying, w.offered, now, w.runs, w.used, w.unknownRuns
		next.polledAt, next.pollInterrupted, next.polledAddress, next.polledIncarnation = w.polledAt, w.pollInterrupted, w.polledAddress, w.polledIncarnation
		next.formerIncarnation = w.incarnation
		next.tokenStep, next.openStartUntil, next.leaseSentAt = w.tokenStep, w.openStartUntil, w.leaseSentAt
		next.expiresAt = Later(w.expiresAt, now.Add(p.timing.longest()))
		if !w.extendedUntil.IsZero() {
			next.extendedUntil = next.expiresAt // the poll may reach the new incarnation
		}
		*w = *next
		return true
	}
	if info.Incarnation == w.formerIncarnation {
		w.formerIncarnation = 0 // it is listed again: the entry that was listed meanwhile was wrong
	}
	w.info = info
	isNew = !w.listed
	w.listed = true
	return isNew
}

// isOtherIncarnation reports whether info describes another incarnation than the one
// that answered last. Its start may have an earlier time, if the machine's time of day
// was set back.
func (w *worker) isOtherIncarnation(info *WorkerInfo) bool {
	if info.Incarnation == 0 || w.incarnation == 0 {
		return false
	}
	return info.Incarnation > w.incarnation || info.Incarnation != w.incarnation && info.Incarnation != w.info.Incarnation
}

// incarnationEnded releases all runs on a worker whose incarnation has ended.
func (p *Pool) incarnationEnded(w *worker) {
	for _, r := range w.runs {
		p.noteGivenUp(r, IncarnationOver)
		p.release(r)
		p.counts.Lost++
	}
	delete(p.awaited, w.info.ID)
}

// workerRestarted handles the restart of a worker under its name. The next poll shows
// which runs the new incarnation has; a start that got no answer may have reached it. With
// the raised token it refuses all calls that were meant for the former one from then on.
func (p *Pool) workerRestarted(w *worker) {
	p.counts.Reborn++
	delete(p.awaited, w.info.ID)
	w.raiseToken()
	for _, r := range w.runs {
		if r.phase != running {
			r.stopSentAt, r.stoppedAt, r.deadline, r.absent = time.Time{}, time.Time{}, 0, false
		}
	}
}

// release removes a run that has ended, in whatever way, or never started.
func (p *Pool) release(r *run) {
	w := r.worker
	p.keepOpenStarts(r)
	delete(w.runs, runKey{r.id, r.attempt})
	w.used = w.used.Minus(r.reserved)
	p.quota.ReleaseRun(w.info.ID, r.charge, r.adopted)
	if r.unknownJob {
		w.unknownRuns--
	}
	if r.task == nil {
		p.dropUnneeded(r.id)
		return
	}
	r.stage.job.activeRuns--
	if r.task.run == r {
		r.task.run = nil
	}
}

// Roster returns the roster to be saved for the next owner, as of now.
func (p *Pool) Roster(now time.Time) WorkerRoster {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := WorkerRoster{Tenure: p.epoch, Token: p.token, Quiet: !now.Before(p.formerOrdersEndAt)}
	for id, w := range p.workers {
		if !w.lost {
			r.Workers = append(r.Workers, w.rosterEntry(p.awaited[id]))
		}
	}
	for id, a := range p.awaited {
		if p.workers[id] == nil {
			r.Workers = append(r.Workers, a.rosterEntry(id))
		}
	}
	r.OpenStarts = p.rosterStarts(now)
	slices.SortFunc(r.Workers, func(a, b RosterWorker) int { return strings.Compare(a.ID, b.ID) })
	return r
}

// RosterSaved records that the roster is saved. From then on tasks may start on the
// workers that it does not name as down.
func (p *Pool) RosterSaved(r WorkerRoster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range r.Workers {
		if w := p.workers[r.Workers[i].ID]; w != nil && !r.Workers[i].Down {
			w.rostered = true
		}
	}
}

// rosterEntry returns the worker's entry in the roster. a is not nil if the worker may
// run tasks of a former owner. If the entry names the worker as down, no task may start
// there until a later roster is saved. One that drains is named so too: it may leave while
// the store is out of reach, and the next owner would wait for whatever might run there.
func (w *worker) rosterEntry(a *awaitedWorker) RosterWorker {
	r := RosterWorker{ID: w.info.ID, Machine: w.info.Machine, Down: w.fenced && (w.isDown() || w.endsKnown && w.info.Draining)}
	if a != nil || !r.Down {
		r.Down = false
		return r
	}
	w.rostered = false
	for _, run := range w.runs {
		r.Tasks = append(r.Tasks, run.id)
	}
	for _, e := range w.unsavedEnds {
		r.Tasks = append(r.Tasks, e.task)
	}
	slices.SortFunc(r.Tasks, TaskID.compare)
	r.Tasks = slices.Compact(r.Tasks)
	return r
}

func (a *awaitedWorker) rosterEntry(id string) RosterWorker {
	r := RosterWorker{ID: id, Machine: a.machine, Down: a.tasksKnown}
	for t := range a.tasks {
		r.Tasks = append(r.Tasks, t)
	}
	slices.SortFunc(r.Tasks, TaskID.compare)
	return r
}

// sweepWorkers releases the runs on unreachable workers whose leases have expired, and
// removes unlisted workers that are over or idle: an idle one is not polled, so it does not
// count as silent, and the next owner would wait for it. A worker is judged by all that it
// answered: while a reply may wait to be applied, or may have come after its poll's timeout,
// its runs stay.
func (p *Pool) sweepWorkers(now time.Time, plan *Plan) {
	for id, w := range p.workers {
		if w.lost && !w.polledAt.IsZero() {
			if !w.pollInterrupted {
				w.pollInterrupted = true
				plan.Interrupts = append(plan.Interrupts, id)
			}
			continue
		}
		if w.lost && len(w.runs) > 0 {
			p.incarnationEnded(w)
		}
		if w.replyOutstanding() {
			continue
		}
		if len(w.runs) > 0 && !w.reachable && now.After(w.expiresAt) && (!w.listed || !p.mayHaveRepliedLate(w)) {
			p.expire(w)
		}
		if !w.listed && now.After(w.expiresAt) && (w.isOver() || p.formerRunsKnown && w.idle()) {
			p.raiseAboveAck(w)
			p.highestTokenStep = max(p.highestTokenStep, w.tokenStep)
			p.openStarts.workerRemoved(id, p.lateLeaseUntil(w))
			p.adviceHistory.workerRemoved(id)
			delete(p.workers, id)
		}
	}
}

// expire releases all runs on an unreachable worker, since their leases have expired.
// The worker has to answer a poll before a task starts there again.
func (p *Pool) expire(w *worker) {
	for _, r := range w.runs {
		p.noteGivenUp(r, LeaseOver)
		p.release(r)
		p.counts.Lapsed++
	}
	w.fenced, w.endsKnown, w.unanswered, w.hasty, w.refusals = false, false, 0, 0, 0
}
