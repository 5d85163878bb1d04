package scheduler

import "time"

// moveRunsOff stops runs on workers that drain or whose machines are being emptied, if
// another worker has free capacity for their tasks. On draining workers, which come first
// as their time is short, it stops long-running tasks and those with a checkpoint. On
// machines being emptied it stops only long-running tasks.
func (p *Pool) moveRunsOff(now time.Time, plan *Plan) {
	if p.formerAnsweredAt.IsZero() {
		return
	}
	if stopsDone := Later(p.takenAt, p.formerAnsweredAt).Add(p.timing.StopTimeout + stopMargin); now.Before(stopsDone) {
		plan.wakeAt(stopsDone)
		return // stops that a former owner ordered may not be over: a worker refuses only those that reach it later
	}
	p.moveRunsOffWorkers(func(w *worker) bool { return w.info.Draining }, now)
	p.moveRunsOffWorkers(func(w *worker) bool { return w.emptying && !w.info.Draining }, now)
}

func (p *Pool) moveRunsOffWorkers(selected func(*worker) bool, now time.Time) {
	for _, w := range p.workers {
		if !selected(w) {
			continue
		}
		for _, r := range w.runs {
			if r.task == nil || r.wantStop || r.phase != running || now.Before(r.openUntil) {
				continue // the last: it could start nowhere else
			}
			if p.mayMove(r, now) && p.fitsElsewhere(r.task, now) {
				r.requestMove()
			}
		}
	}
}

// mayMove reports whether the run's task may be stopped at now to start on another worker.
// Each stop of a long-running task at work counts against what its step allows to be
// unavailable, whatever it is for. What a draining worker ends is not held against the
// owner: there the step's allowance counts only beside a stop on another worker that may
// not be over, which has to find no more tasks unavailable than when it was ordered.
func (p *Pool) mayMove(r *run, now time.Time) bool {
	step, draining := r.stage.step, r.worker.info.Draining
	if !step.LongRunning {
		return step.Checkpointing && r.task.checkpoint != "" && draining
	}
	if draining && !r.stage.stopPending(r.task) {
		return true
	}
	return r.stage.unavailable(r.task, now) < max(step.MaxUnavailable, 1)
}

// fitsElsewhere reports whether t could start on another worker at now.
func (p *Pool) fitsElsewhere(t *task, now time.Time) bool {
	for _, w := range p.workers {
		if w != t.run.worker && p.mayRun(t, w, now) {
			return true
		}
	}
	return false
}

// stopMargin is the transit time of a stop order and its answer.
const stopMargin = 300 * time.Millisecond
