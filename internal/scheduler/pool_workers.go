package scheduler

import (
	"slices"
	"strings"
	"time"
)

// SetWorkers takes in the platform's list of the service's workers.
func (p *Pool) SetWorkers(infos []WorkerInfo, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[string]bool, len(infos))
	for i := range infos {
		seen[infos[i].ID] = true
		p.setWorker(infos[i], now)
	}
	for id, w := range p.workers {
		if !seen[id] && w.listed {
			w.listed = false
		}
	}
	p.endFormerIncarnations(now)
}

// endFormerIncarnations takes in that a machine runs one worker at a time: of several
// that name the same machine only the one started last is alive. An entry that
// no worker has answered for may be anybody's, and ends nothing.
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
			p.supersededAtAddress(w)
		}
	}
}

func (p *Pool) setWorker(info WorkerInfo, now time.Time) {
	w, ok := p.workers[info.ID]
	if !ok {
		w = newWorker(info)
		w.listedAt = now
		w.offered, w.emptying = p.publishedOffers[info.Machine], p.emptied[info.Machine]
		p.workers[info.ID] = w
		return
	}
	if w.lost && (info.Incarnation == 0 || info.Incarnation > w.info.Incarnation) || w.isOtherIncarnation(&info) {
		p.addEvent(Event{Kind: NewIncarnationListed, Worker: info.ID, Number: w.ackableEnds, Incarnation: info.Incarnation}, now)
		p.workerRestarted(w)
		next := newWorker(info)
		next.emptying, next.offered, next.listedAt, next.runs, next.used, next.unknownRuns = w.emptying, w.offered, now, w.runs, w.used, w.unknownRuns
		next.formerIncarnation = w.incarnation
		next.expiresAt = Later(w.expiresAt, now.Add(p.timing.longest()))
		*w = *next
		return
	}
	if info.Incarnation == w.formerIncarnation {
		w.formerIncarnation = 0 // listed again: what was listed meanwhile was no incarnation of it
	}
	w.info = info
	w.listed = true
}

// isOtherIncarnation reports whether facts are those of another incarnation than the one that
// answered last. The time of day of its machine may have been set back between them.
func (w *worker) isOtherIncarnation(info *WorkerInfo) bool {
	if info.Incarnation == 0 || w.incarnation == 0 {
		return false
	}
	return info.Incarnation > w.incarnation || info.Incarnation != w.incarnation && info.Incarnation != w.info.Incarnation
}

// MachineEmpty reports whether the pool has workers on the machine, and nothing runs
// or will start on any of them.
func (p *Pool) MachineEmpty(machine string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	for _, w := range p.workers {
		if w.info.Machine != machine {
			continue
		}
		if !w.vacating() || !w.idle() || !w.fenced {
			return false
		}
		found = true
	}
	return found
}

// incarnationEnded takes in that an incarnation of a worker is over: nothing runs there any more.
func (p *Pool) incarnationEnded(w *worker) {
	for _, r := range w.runs {
		p.release(r)
		p.counts.Lost++
	}
	delete(p.awaited, w.info.ID)
}

// workerRestarted takes in that a worker has started again under its name. Which of its
// runs were answered by the new incarnation, the next poll tells. An order whose answer
// was lost may still reach that incarnation, which knows nothing of before: it is told to
// refuse it.
func (p *Pool) workerRestarted(w *worker) {
	p.counts.Reborn++
	delete(p.awaited, w.info.ID)
	for _, r := range w.runs {
		if r.phase == running && !r.lateStartPossible {
			continue
		}
		if r.phase == running {
			r.markStartUnknown()
		}
		r.answeredAt, r.stopSentAt, r.stoppedAt, r.deadline = time.Time{}, time.Time{}, time.Time{}, 0
		r.stopIfUnlisted = r.stopIfUnlisted || !r.wantStop
		r.requestStop()
	}
}

// release takes in that a run is over, whatever became of it.
func (p *Pool) release(r *run) {
	w := r.worker
	delete(w.runs, runKey{r.id, r.attempt})
	w.used = w.used.Minus(r.reserved)
	if r.unknownJob {
		w.unknownRuns--
	}
	if r.task == nil {
		return
	}
	r.stage.job.activeRuns--
	if r.task.run == r {
		r.task.run = nil
	}
}

// Roster returns what the next owner would have to know at now.
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
	slices.SortFunc(r.Workers, func(a, b RosterWorker) int { return strings.Compare(a.ID, b.ID) })
	return r
}

// RosterSaved takes in that the roster is saved. From then on new tasks may start
// on the workers that it names as up.
func (p *Pool) RosterSaved(r WorkerRoster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range r.Workers {
		if w := p.workers[r.Workers[i].ID]; w != nil && !r.Workers[i].Down {
			w.rostered = true
		}
	}
}

// roster describes the worker for the next owner; a is what an earlier one may
// have left there, nil if nothing. While it is said to be down, nothing new
// starts there.
func (w *worker) rosterEntry(a *awaitedWorker) RosterWorker {
	r := RosterWorker{ID: w.info.ID, Machine: w.info.Machine, Down: w.fenced && !w.reachable}
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

// sweepWorkers removes workers that are gone: lost, or unlisted with nothing
// left that could run there.
func (p *Pool) sweepWorkers(now time.Time) {
	for id, w := range p.workers {
		if len(w.runs) > 0 && !w.reachable && now.After(w.expiresAt) {
			p.expire(w)
		}
		if !w.listed && len(w.runs) == 0 && now.After(w.expiresAt) && (w.lost || !w.reachable) {
			delete(p.workers, id)
		}
	}
}

// expire takes in that the lease of all that runs on an unreachable worker has
// ended. The worker must be polled before it is used again.
func (p *Pool) expire(w *worker) {
	for _, r := range w.runs {
		p.release(r)
		p.counts.Lapsed++
	}
	w.fenced = false
}
