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

// isQuick reports whether a reply or a failure that took so long is far from a timeout.
func (t *Timing) isQuick(took time.Duration) bool { return took <= t.OrderTimeout/2 }

// replyTimeout returns how long the worker's next poll waits for its reply. Only a worker
// that may run tasks is worth a longer wait.
func (p *Pool) replyTimeout(w *worker) time.Duration {
	if w.unanswered == 0 && w.hasty < maxHasty {
		return p.hastyTimeout(w)
	}
	if len(w.runs) == 0 && p.awaited[w.info.ID] == nil {
		return p.timing.OrderTimeout
	}
	return p.timing.replyTimeout(w.unanswered)
}

// countPollFailure counts a poll that failed after the given time. It reports whether that
// poll waited for a shorter time than one of a worker whose answer times are not known. Such
// a poll does not show that the worker is gone, so it does not count towards that.
func (p *Pool) countPollFailure(w *worker, took time.Duration) (hasty bool) {
	if took <= min(w.polledTimeout, p.timing.OrderTimeout)/2 {
		w.refusals++
		return false
	}
	w.refusals = 0
	if w.polledTimeout > 0 && w.polledTimeout < p.timing.OrderTimeout {
		w.hasty++
		return true
	}
	w.unanswered++
	return false
}

// maxHasty is the number of polls without a reply after which polls wait again as if no
// answer times were known.
const maxHasty = 3

// mayHaveRepliedLate reports whether the worker may have replied to the polls that got no
// reply, if there were any: none of them waited for the longest time, and few failed
// without a wait, as they do at a limit of connections.
func (p *Pool) mayHaveRepliedLate(w *worker) bool {
	if w.refusals >= refusalsWhenGone {
		return false
	}
	return w.unanswered == 0 || p.timing.replyTimeout(w.unanswered-1) < p.timing.longestReplyTimeout()
}

// refusalsWhenGone is the number of polls in a row that fail at once when no process
// accepts connections at the worker's address. So many fail within a lease.
const refusalsWhenGone = 6

// blockAfterFailure is how long no task starts on a worker that did not answer or, at first,
// is unhealthy: about the time of a retry on a new connection.
const blockAfterFailure = 300 * time.Millisecond
