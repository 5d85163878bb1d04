package scheduler

// StartWanted reports whether a start order still has to be sent: its run is still to be
// started, and no stop of it was requested since, as by a cancellation of its job.
func (p *Pool) StartWanted(o StartOrder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[o.Worker]
	if !ok {
		return false
	}
	r := w.runs[runKey{o.Task, o.Attempt}]
	return r != nil && r.phase != running && !r.wantStop && r.stopSentAt.IsZero()
}
