package scheduler

import "time"

// moveOff stops runs on workers that are to be emptied or that leave, so that
// they start elsewhere: lasting ones as far as their step may miss them, and
// those that keep a checkpoint.
func (p *Pool) moveRunsOff(now time.Time, plan *Plan) {
	if stopsDone := p.takenAt.Add(p.timing.StopTimeout + stopMargin); now.Before(stopsDone) {
		plan.wakeAt(stopsDone)
		return // stops of an earlier owner may not be over
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
			if p.mayMove(r, w) && p.roomElsewhere(r.task, now) {
				r.requestStop()
			}
		}
	}
}

// mayMove reports whether a run may be stopped only to start elsewhere.
func (p *Pool) mayMove(r *run, w *worker) bool {
	step := r.stage.step
	if !step.LongRunning {
		return step.Checkpointing && r.task.checkpoint != "" && w.info.Draining
	}
	if w.info.Draining {
		return true
	}
	return r.stage.unavailable(r.task) < max(step.MaxUnavailable, 1)
}

// roomElsewhere reports whether another worker could take t at once.
func (p *Pool) roomElsewhere(t *task, now time.Time) bool {
	for _, w := range p.workers {
		if w != t.run.worker && p.mayRun(t, w, now) {
			return true
		}
	}
	return false
}

// stopMargin is added to the time of a stop for its way to the worker and back.
const stopMargin = 300 * time.Millisecond
