package scheduler

import "time"

// place returns the worker on which t starts best, or nil.
func (p *Pool) place(t *task) *worker {
	if !p.startCandidates.mayFit(t.stage.step.reserved()) {
		return nil
	}
	var best *worker
	var bestFit fit
	for _, w := range p.startCandidates.workers {
		if !p.suits(t, w) {
			continue
		}
		f := p.fitOn(t, w)
		if best == nil || f.before(bestFit) {
			best, bestFit = w, f
		}
	}
	return best
}

// mayRun reports whether t may start on w at now.
func (p *Pool) mayRun(t *task, w *worker, now time.Time) bool { return w.usable(now) && p.suits(t, w) }

// suits reports whether w has room for t and is one that it may run on.
func (p *Pool) suits(t *task, w *worker) bool {
	step := t.stage.step
	if !step.reserved().Fits(w.free()) {
		return false
	}
	if step.Label != "" && !w.info.HasLabel(step.Label) {
		return false
	}
	if step.MaxPerWorker > 0 && t.stage.runsOn(w) >= step.MaxPerWorker {
		return false
	}
	if t.stage.job.sub.Advice != nil && t.stage.tickets.byWorker[w.info.ID] == "" {
		return false
	}
	return true
}

// fitOf judges how well t would stand on w.
func (p *Pool) fitOn(t *task, w *worker) fit {
	step := t.stage.step
	return fit{
		failedThere:  t.avoidWorker == w.info.ID,
		awayFromData: step.DataRack != "" && !w.info.HasLabel(step.DataRack),
		awayFromStep: step.SameRack && !t.stage.sharesRack(w),
		failedJobs:   len(w.failedJobs),
		freeMilliCPU: w.free().MilliCPU - step.Need.MilliCPU,
		id:           w.info.ID,
	}
}

// sharesRack reports whether w stands in the rack of the stage's other runs.
func (s *stage) sharesRack(w *worker) bool {
	for _, t := range s.tasks {
		if t.run != nil {
			return t.run.worker.info.Rack == w.info.Rack
		}
	}
	return true
}
