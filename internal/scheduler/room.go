package scheduler

// room is the free capacity of workers while a capacity report is made, as if the
// waiting tasks that were counted so far had been started.
type room struct {
	pool *Pool
	free map[*worker]Resources // of the workers on which tasks were counted
}

// take counts up to n tasks of s on w and returns how many have room there.
func (r *room) take(s *stage, w *worker, n int) int {
	if !r.pool.eligible(s, w) {
		return 0
	}
	free, counted := r.free[w]
	if !counted {
		free = w.free()
	}
	need := s.step.reserved()
	n = min(n, need.timesIn(free))
	if s.step.MaxPerWorker > 0 {
		n = min(n, max(s.step.MaxPerWorker-s.runsOn(w), 0))
	}
	if n > 0 {
		r.free[w] = free.Minus(need.times(n))
	}
	return n
}

// takeFrom counts up to n tasks of s on the workers and returns how many have no room
// there. It calls used with each worker that has room for some.
func (r *room) takeFrom(workers []*worker, s *stage, n int, used func(w *worker)) int {
	for _, w := range workers {
		if n == 0 {
			break
		}
		if taken := r.take(s, w, n); taken > 0 {
			n -= taken
			used(w)
		}
	}
	return n
}
