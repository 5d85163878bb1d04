package scheduler

import "time"

// tickets holds the tickets that the advice service granted to a stage, by worker. A
// task of the stage may start only on a worker with a ticket. The pool's lock guards it.
type tickets struct {
	byWorker   map[string]string
	refused    map[string]bool // workers that were named and not granted: the service's decision for a step does not change
	validUntil time.Time
	requested  bool
	retryAt    time.Time
}

// valid reports whether there are tickets that may be used at now.
func (t *tickets) valid(now time.Time) bool { return len(t.byWorker) > 0 && now.Before(t.validUntil) }

// excludes reports whether a call need not name the worker, because the service has
// refused it and granted others.
func (t *tickets) excludes(worker string) bool { return len(t.byWorker) > 0 && t.refused[worker] }

// forget forgets which workers were granted and refused, since none of those that may be
// named are left. The next call names any worker.
func (t *tickets) forget(now time.Time) {
	t.byWorker, t.refused, t.retryAt = nil, nil, now.Add(adviceRetryDelay)
}

// apply applies an answer to a call that named the given workers.
func (t *tickets) apply(named []string, r *AdviceReply, policy *AdvicePolicy, now time.Time) {
	validFor := r.ValidFor
	if validFor <= 0 {
		validFor = policy.TicketValidity
	}
	t.byWorker, t.validUntil = r.Granted, r.SentAt.Add(validFor)
	if len(r.Granted) == 0 {
		t.retryAt = now.Add(adviceRetryDelay)
	}
	if t.refused == nil {
		t.refused = make(map[string]bool)
	}
	for _, id := range named {
		if r.Granted[id] == "" {
			t.refused[id] = true
		} else {
			delete(t.refused, id)
		}
	}
}
