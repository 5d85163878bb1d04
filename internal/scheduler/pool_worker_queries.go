package scheduler

// HasUnsavedEnds reports whether ends that the worker reported may not be acknowledged yet:
// they are not saved, or their tasks may start once more.
func (p *Pool) HasUnsavedEnds(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	return ok && (w.appliedEnds > w.ackableEnds || len(w.heldEnds) > 0)
}

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
