package scheduler

// adviceHistory holds the advice service's last decision on each worker for any step of a
// queue, by queue and worker. A policy is the queue's, so its steps are likely to be allowed on
// the same workers. It only orders the workers that calls name. The pool's lock guards it.
type adviceHistory map[string]map[string]bool

// note records a decision.
func (h adviceHistory) note(queue, worker string, granted bool) {
	if h[queue] == nil {
		if len(h) >= maxAdvisedQueues {
			clear(h) // queues come and go with configurations
		}
		h[queue] = make(map[string]bool)
	}
	h[queue][worker] = granted
}

// order returns 0 for workers that the queue was granted last, 2 for those that it was
// refused, and 1 for others.
func (h adviceHistory) order(queue, worker string) int {
	granted, known := h[queue][worker]
	switch {
	case granted:
		return 0
	case known:
		return 2
	}
	return 1
}

// workerRemoved forgets a worker that the pool has no longer.
func (h adviceHistory) workerRemoved(worker string) {
	for _, decisions := range h {
		delete(decisions, worker)
	}
}

// maxAdvisedQueues bounds the queues of one pool whose decisions are kept.
const maxAdvisedQueues = 256
