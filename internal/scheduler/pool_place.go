package scheduler

import (
	"slices"
	"time"
)

// place returns the best worker to start t on, or nil if none is suitable.
func (p *Pool) place(t *task) *worker {
	if !p.startCandidates.mayFit(t.stage.step.reserved()) {
		return nil
	}
	if open := p.openStarts[t.id]; len(open) > 0 {
		return p.placeOpen(t, open[0].worker)
	}
	var best *worker
	var bestFit fit
	for _, w := range p.startCandidates.workers {
		if !p.suits(t, w) || p.hold.keeps(t.stage, w) {
			continue
		}
		f := p.fitOn(t, w)
		if best == nil || f.before(bestFit) {
			best, bestFit = w, f
		}
	}
	return best
}

// placeOpen returns the worker with the given ID if t, which has open starts there, may start
// on it, or nil.
func (p *Pool) placeOpen(t *task, id string) *worker {
	w := p.workers[id]
	if w == nil || !slices.Contains(p.startCandidates.workers, w) || !p.suits(t, w) || p.hold.keeps(t.stage, w) {
		return nil
	}
	return w
}

// mayRun reports whether t may start on w at now.
func (p *Pool) mayRun(t *task, w *worker, now time.Time) bool { return w.usable(now) && p.suits(t, w) }

// suits reports whether w has free capacity for t and meets the conditions of its step.
func (p *Pool) suits(t *task, w *worker) bool {
	step := t.stage.step
	if !step.reserved().Fits(w.free()) || !p.eligible(t.stage, w) {
		return false
	}
	if !p.openStarts.allow(t.id, w) {
		return false
	}
	return step.MaxPerWorker <= 0 || t.stage.runsOn(w) < step.MaxPerWorker
}

// eligible reports whether w has the label and the ticket that tasks of s need.
func (p *Pool) eligible(s *stage, w *worker) bool {
	if s.step.Label != "" && !w.info.HasLabel(s.step.Label) {
		return false
	}
	return s.job.sub.Advice == nil || s.tickets.byWorker[w.info.ID] != ""
}

// fitOn returns how w compares with other workers as a place for t.
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

// sharesRack reports whether w is in the same rack as the worker of the stage's first
// run. It is true if the stage has no run.
func (s *stage) sharesRack(w *worker) bool {
	for _, t := range s.tasks {
		if t.run != nil {
			return t.run.worker.info.Rack == w.info.Rack
		}
	}
	return true
}
