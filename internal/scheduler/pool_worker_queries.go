package scheduler

import "time"

// HasUnsavedEnds reports whether ends that the worker reported may not be acknowledged yet:
// they are not saved, their tasks may start once more, or a start has no answer yet.
func (p *Pool) HasUnsavedEnds(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	return ok && w.acksWait()
}

// acksWait reports whether ends that the worker lists may not be acknowledged yet.
func (w *worker) acksWait() bool {
	return w.appliedEnds > w.ackableEnds || len(w.heldEnds) > 0 || w.appliedEnds > w.ackedEnds && w.hasOpenCopy()
}

// PollPause returns how long the next poll of the worker waits, from the last one on, as the
// worker lists ends that may not be acknowledged yet: it replies at once then, so that polls
// would follow each other without a pause. The wait is over when the pause is 0.
func (p *Pool) PollPause(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	follow := p.answerLimits(0).Follow()
	switch {
	case !ok || !w.acksWait():
		return 0
	case follow && (!w.reachable || w.startInDoubt()):
		return 0
	case follow && w.appliedEnds <= w.ackableEnds:
		return min(heldPauses*p.timing.LeastTimeout, longestPollPause)
	}
	return longestPollPause
}

// startInDoubt reports whether a poll has to show what became of a start without an answer,
// and none that was sent since has been answered.
func (w *worker) startInDoubt() bool {
	for _, r := range w.runs {
		if r.phase == startUnknown && !r.absent && w.pollSentAt.Before(r.unansweredAt) {
			return true
		}
	}
	return false
}

const (
	// longestPollPause is the time within which ends are saved.
	longestPollPause = 400 * time.Millisecond
	// heldPauses is the pause while all listed ends are saved but held back for seconds, as a
	// multiple of the shortest timeout. Ends that come meanwhile stay unseen for it.
	heldPauses = 2
)

// HasWorker reports whether the pool has the worker.
func (p *Pool) HasWorker(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.workers[id]
	return ok
}

// HasRuns reports whether a task runs, or may run, on the worker.
func (p *Pool) HasRuns(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	return ok && len(w.runs) > 0
}
