package scheduler

import "time"

// replyTimeout returns how long a poll waits for its reply when so many polls before it
// got none. It doubles each time, so that replies that always come late are received in
// the end, and is bounded, so that several polls fit into a lease.
func (t *Timing) replyTimeout(unanswered int) time.Duration {
	timeout := t.OrderTimeout
	for ; unanswered > 0 && timeout < t.longestReplyTimeout(); unanswered-- {
		timeout *= 2
	}
	return min(timeout, t.longestReplyTimeout())
}

// longestReplyTimeout returns the longest time that a poll waits for its reply.
func (t *Timing) longestReplyTimeout() time.Duration {
	return max(t.OrderTimeout, t.RunLease/replyTimeoutsPerLease)
}

// replyTimeoutsPerLease is how often the longest timeout of a poll fits into a lease.
const replyTimeoutsPerLease = 2

// isQuick reports whether a reply that took so long is far from its timeout.
func (t *Timing) isQuick(took time.Duration) bool { return took <= t.OrderTimeout/2 }

// replyTimeout returns how long the worker's next poll waits for its reply. Only a worker
// that may run tasks is worth a longer wait.
func (p *Pool) replyTimeout(w *worker) time.Duration {
	if len(w.runs) == 0 && p.awaited[w.info.ID] == nil {
		return p.timing.OrderTimeout
	}
	return p.timing.replyTimeout(w.unanswered)
}

// mayHaveRepliedLate reports whether the worker may have replied to the polls that got no
// reply, if there were any: none of them waited for the longest time.
func (p *Pool) mayHaveRepliedLate(w *worker) bool {
	return w.unanswered == 0 || p.timing.replyTimeout(w.unanswered-1) < p.timing.longestReplyTimeout()
}
