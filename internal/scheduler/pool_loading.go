package scheduler

// BeginLoad makes the pool one whose jobs are being read. Until EndLoad, polls only fence
// the workers, read their clocks and extend the leases of what runs there: no end is
// applied or acknowledged, no run is looked up, and nothing is ordered.
func (p *Pool) BeginLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading = true
}

// EndLoad records that all jobs are there. The next reply of each worker is applied in full.
func (p *Pool) EndLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading = false
	p.chargeInherited()
}

// Loading reports whether the pool's jobs are still being read.
func (p *Pool) Loading() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loading
}

// applyContact applies a worker's reply while the jobs are being read. The worker does not
// count as fenced: which runs it has is known only from a reply that is applied in full.
func (p *Pool) applyContact(w *worker, reply *PollReply) {
	if w.incarnation != 0 && reply.Incarnation > w.incarnation {
		// A poll with a deadline on the former incarnation's clock may have reached this one.
		w.extendUnknownRuns(reply.ReceivedAt.Add(p.timing.longest()))
	}
	w.answered(reply, &p.timing)
}
