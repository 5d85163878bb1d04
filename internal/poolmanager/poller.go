package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
)

// poller asks one worker what runs there, as long as the pool needs to know.
type poller struct {
	*poolOwnership
	worker  string
	address string // where the worker was last polled
	kick    signal
	logged  scheduler.OrderResult // the failure told last; Accepted: none since the last answer
}

const (
	// pollRetry is the pause after a poll that failed; it doubles up to
	// maxPollRetry, well within the time that a run goes on without a poll.
	pollRetry    = 100 * time.Millisecond
	maxPollRetry = 800 * time.Millisecond
	// retireEvery is how often an idle poller finds out whether its worker is
	// gone for good.
	retireEvery = 10 * time.Second
	// saveWait bounds how long a poll waits for the progress of earlier ends
	// to be saved: a worker answers at once while it lists ends.
	saveWait = 400 * time.Millisecond
)

func (l *poller) run() {
	retry := pollRetry
	for l.ctx.Err() == nil {
		l.awaitSaved()
		req, due := l.pool.NextPoll(l.worker, l.Clock.Now())
		if !due {
			if !l.awaitKick() || l.retire() {
				return
			}
			continue
		}
		l.address = req.Address
		if l.poll(req) {
			retry = pollRetry
			continue
		}
		sleep(l.ctx, l.Clock, retry)
		retry = min(2*retry, maxPollRetry)
	}
}

// awaitKick waits until there may be something to poll for, or the worker may
// be gone; false when the ownership has ended.
func (l *poller) awaitKick() bool {
	timer := l.Clock.NewTimer(retireEvery)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
		return false
	case <-l.kick:
	case <-timer.Chan():
	}
	return true
}

// retire ends the poller of a worker that the pool no longer has.
func (l *poller) retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pool.HasWorker(l.worker) {
		return false
	}
	delete(l.pollers, l.worker)
	l.Workers.Forget(l.address)
	return true
}

// awaitSaved waits until the ends taken in are kept.
func (l *poller) awaitSaved() {
	if !l.pool.HasUnsavedEnds(l.worker) {
		return
	}
	timeout := l.Clock.NewTimer(saveWait)
	defer timeout.Stop()
	for l.pool.HasUnsavedEnds(l.worker) {
		select {
		case <-l.ctx.Done():
			return
		case <-timeout.Chan():
			return
		case <-l.kick:
		}
	}
}

// poll asks once; false when there was no answer.
func (l *poller) poll(req scheduler.PollRequest) bool {
	if !l.holds() {
		return false
	}
	if req.Deadline > 0 && !l.pool.HasUnsavedEnds(l.worker) && l.pool.HasRuns(l.worker) {
		req.Wait = l.timing.PollWait
	}
	ctx, cancel := context.WithTimeout(l.ctx, req.Wait+l.timing.OrderTimeout)
	defer cancel()
	look, answer := l.Workers.Poll(ctx, req)
	switch answer {
	case scheduler.Accepted:
		l.logged = answer
		taken := l.pool.ApplyPoll(look)
		l.save.send()
		l.plan.send()
		return taken
	case scheduler.Fenced:
		l.lose("a worker has seen a later owner")
		return false
	}
	if l.ctx.Err() != nil {
		return false
	}
	if l.logged != answer { // not with every poll
		l.logged = answer
		l.log.Info("worker does not answer", zap.String("worker", l.worker), zap.Stringer("answer", answer))
	}
	l.pool.PollFailed(l.worker, answer, l.Clock.Now())
	l.plan.send()
	return false
}
