package scheduler

// placeGang returns a worker for each task of the gang, or nil if they do not all have
// room at once. It reserves nothing.
func (p *Pool) placeGang(s *stage) []*worker {
	workers := make([]*worker, len(s.tasks))
	placed := true
	for _, pinned := range []bool{true, false} { // those that may start on one worker only come first
		for i, t := range s.tasks {
			if !placed || pinned != (len(p.openStarts[t.id]) > 0) {
				continue
			}
			w := p.place(t)
			if placed = w != nil; !placed {
				continue
			}
			w.used = w.used.Plus(s.step.reserved())
			t.run = &run{worker: w} // counts against the limit of tasks on one worker
			p.startCandidates.maxFreeStale = true
			workers[i] = w
		}
	}
	for i, w := range workers {
		if w != nil {
			w.used = w.used.Minus(s.step.reserved())
			s.tasks[i].run = nil
		}
	}
	p.startCandidates.measure()
	if !placed {
		return nil
	}
	return workers
}
