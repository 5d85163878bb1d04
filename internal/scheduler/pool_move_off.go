package scheduler

import "time"

// moveRunsOff stops runs on workers that drain or whose machines are being emptied, if
// another worker has free capacity for their tasks. On draining workers it stops
// long-running tasks and those with a checkpoint. On machines being emptied it stops
// only long-running tasks, and no more than their step allows to be unavailable.
func (p *Pool) moveRunsOff(now time.Time, plan *Plan) {
	if stopsDone := p.takenAt.Add(p.timing.StopTimeout + stopMargin); now.Before(stopsDone) {
		plan.wakeAt(stopsDone)
		return // stops that a former owner ordered may not be over
	}
	if !p.formerWorkersAnswered {
		return
	}
	for _, w := range p.workers {
		if !w.emptying && !w.info.Draining {
			continue
		}
		for _, r := range w.runs {
			if r.task == nil || r.wantStop || r.phase != running {
				continue
			}
			if p.mayMove(r, w, now) && p.fitsElsewhere(r.task, now) {
				r.requestStop()
			}
		}
	}
}

// mayMove reports whether the run's task may be stopped at now to start on another worker.
func (p *Pool) mayMove(r *run, w *worker, now time.Time) bool {
	step := r.stage.step
	if !step.LongRunning {
		return step.Checkpointing && r.task.checkpoint != "" && w.info.Draining
	}
	if w.info.Draining {
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
