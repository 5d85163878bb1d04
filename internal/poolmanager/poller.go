package poolmanager

import (
	"context"
	"sync/atomic"
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
	logged  scheduler.OrderResult              // the failure logged last; Accepted: none since the last reply
	pending atomic.Pointer[context.CancelFunc] // ends the poll in progress; nil: none was sent yet
}

const (
	// pollRetry is the pause after a poll that failed. It doubles up to
	// maxPollRetry, which is well below the lease of a run.
	pollRetry    = 100 * time.Millisecond
	maxPollRetry = 800 * time.Millisecond
	// retireInterval is how often an idle poller checks whether the pool still has
	// its worker.
	retireInterval = 10 * time.Second
	// loadingPollInterval is the pause between two polls that extend leases while the
	// pool's jobs are being read. It is well below the lease of a run.
	loadingPollInterval = time.Second
	// maxSaveWait bounds how long a poll waits until earlier ends are saved. A
	// worker lists ends until they are acknowledged, and replies at once while it
	// lists any, so polls before the save would follow each other without a pause.
	maxSaveWait = 400 * time.Millisecond
)

// run polls the worker until the ownership ends or the pool no longer has the worker.
func (p *poller) run() {
	retry := pollRetry
	for p.ctx.Err() == nil {
		p.awaitSaved()
		req, due := p.pool.NextPoll(p.worker, p.Clock.Now())
		if !due {
			if !p.awaitKick(retireInterval) || p.retire() {
				return
			}
			continue
		}
		p.address = req.Address
		if p.poll(req) {
			retry = pollRetry
			if req.Deadline > 0 && p.pool.Loading() {
				p.awaitKick(loadingPollInterval)
			}
			continue
		}
		sleep(p.ctx, p.Clock, retry)
		retry = min(2*retry, maxPollRetry)
	}
}

// awaitKick waits until the poller is woken, or the given time has passed; false if
// the ownership has ended.
func (p *poller) awaitKick(longest time.Duration) bool {
	timer := p.Clock.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
		return false
	case <-p.kick:
	case <-timer.Chan():
	}
	return true
}

// retire removes the poller if the pool no longer has its worker, and reports whether
// it did so.
func (p *poller) retire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pool.HasWorker(p.worker) {
		return false
	}
	delete(p.pollers, p.worker)
	p.Workers.CloseIdle(p.address)
	return true
}

// awaitSaved waits until the reported ends are saved, for maxSaveWait at most.
func (p *poller) awaitSaved() {
	if !p.pool.HasUnsavedEnds(p.worker) {
		return
	}
	timeout := p.Clock.NewTimer(maxSaveWait)
	defer timeout.Stop()
	for p.pool.HasUnsavedEnds(p.worker) {
		select {
		case <-p.ctx.Done():
			return
		case <-timeout.Chan():
			return
		case <-p.kick:
		}
	}
}

// interrupt ends the poll in progress, if there is one. A reply that has arrived by then
// is still applied.
func (p *poller) interrupt() {
	if cancel := p.pending.Load(); cancel != nil {
		(*cancel)()
	}
}

// poll sends one poll; false if it failed or its reply was not applied.
func (p *poller) poll(req scheduler.PollRequest) bool {
	if !p.isValid() {
		return false
	}
	if req.Deadline > 0 && !req.AtOnce && !p.pool.HasUnsavedEnds(p.worker) && p.pool.HasRuns(p.worker) && req.Timeout <= p.timing.OrderTimeout {
		req.Wait = p.timing.PollWait
	}
	ctx, cancel := context.WithTimeout(p.ctx, req.Wait+req.Timeout)
	defer cancel()
	p.pending.Store(&cancel)
	reply, answer := p.Workers.Poll(ctx, req)
	answer = p.checkFenced(p.worker, req.Token, answer)
	switch answer {
	case scheduler.Accepted:
		p.logged = answer
		applied := p.pool.ApplyPoll(reply)
		p.save.send()
		p.plan.send()
		return applied
	case scheduler.Fenced:
		return false
	}
	if p.ctx.Err() != nil {
		return false
	}
	if p.logged != answer { // not with every poll
		p.logged = answer
		p.log.Info("worker does not answer a lease poll", zap.String("worker", p.worker), zap.Stringer("answer", answer))
	}
	p.pool.PollFailed(p.worker, answer, p.Clock.Now())
	p.plan.send()
	return false
}
