package scheduler

// placeGang returns a worker for each task of the gang, or nil if they do not all have
// room at once. It reserves nothing.
func (p *Pool) placeGang(s *stage) []*worker {
	workers := make([]*worker, 0, len(s.tasks))
	for _, t := range s.tasks {
		w := p.place(t)
		if w == nil {
			break
		}
		w.used = w.used.Plus(s.step.reserved())
		t.run = &run{worker: w} // counts against the limit of tasks on one worker
		p.startCandidates.maxFreeStale = true
		workers = append(workers, w)
	}
	for i, w := range workers {
		w.used = w.used.Minus(s.step.reserved())
		s.tasks[i].run = nil
	}
	p.startCandidates.measure()
	if len(workers) < len(s.tasks) {
		return nil
	}
	return workers
}
