package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
)

// poller sends lease polls to one worker while the pool needs them: a poll reads which
// tasks run there and extends their leases.
type poller struct {
	*poolOwnership
	worker  string
	address string // at which the worker was last polled
	kick    signal
	logged  scheduler.OrderResult // the failure logged last; Accepted: none since the last reply
}

const (
	// pollRetry is the pause after a poll that failed. It doubles up to
	// maxPollRetry, which is well below the lease of a run.
	pollRetry    = 100 * time.Millisecond
	maxPollRetry = 800 * time.Millisecond
	// retireInterval is how often an idle poller checks whether the pool still has
	// its worker.
	retireInterval = 10 * time.Second
	// maxSaveWait bounds how long a poll waits until earlier ends are saved. A
	// worker lists ends until they are acknowledged, and replies at once while it
	// lists any, so polls before the save would follow each other without a pause.
	maxSaveWait = 400 * time.Millisecond
)

// run polls the worker until the ownership ends or the pool no longer has the worker.
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

// awaitKick waits until the poller is woken, or retireInterval has passed; false if
// the ownership has ended.
func (l *poller) awaitKick() bool {
	timer := l.Clock.NewTimer(retireInterval)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
		return false
	case <-l.kick:
	case <-timer.Chan():
	}
	return true
}

// retire removes the poller if the pool no longer has its worker, and reports whether
// it did so.
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

// awaitSaved waits until the reported ends are saved, for maxSaveWait at most.
func (l *poller) awaitSaved() {
	if !l.pool.HasUnsavedEnds(l.worker) {
		return
	}
	timeout := l.Clock.NewTimer(maxSaveWait)
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

// poll sends one poll; false if it failed or its reply was not applied.
func (l *poller) poll(req scheduler.PollRequest) bool {
	if !l.isValid() {
		return false
	}
	if req.Deadline > 0 && !l.pool.HasUnsavedEnds(l.worker) && l.pool.HasRuns(l.worker) {
		req.Wait = l.timing.PollWait
	}
	ctx, cancel := context.WithTimeout(l.ctx, req.Wait+l.timing.OrderTimeout)
	defer cancel()
	reply, answer := l.Workers.Poll(ctx, req)
	switch answer {
	case scheduler.Accepted:
		l.logged = answer
		applied := l.pool.ApplyPoll(reply)
		l.save.send()
		l.plan.send()
		return applied
	case scheduler.Fenced:
		l.lose("a worker has seen a later owner")
		return false
	}
	if l.ctx.Err() != nil {
		return false
	}
	if l.logged != answer { // not with every poll
		l.logged = answer
		l.log.Info("worker does not answer a lease poll", zap.String("worker", l.worker), zap.Stringer("answer", answer))
	}
	l.pool.PollFailed(l.worker, answer, l.Clock.Now())
	l.plan.send()
	return false
}
