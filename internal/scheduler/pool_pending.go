package scheduler

// Pending returns the number of jobs of a queue for which no worker has accepted a task
// yet.
func (p *Pool) Pending(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, j := range p.jobs {
		if j.sub.Queue == queue && j.progress.State == Queued {
			n++
		}
	}
	return n
}
