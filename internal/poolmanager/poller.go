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
	worker        string
	address       string // at which the worker was last polled
	kick          signal
	logged        scheduler.OrderResult       // the failure logged last; Accepted: none since the last reply
	lossyLoggedAt time.Time                   // when it was last logged that the worker leaves calls without an answer
	pending       atomic.Pointer[pendingPoll] // the last poll; nil: none was sent yet
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
	// shortWaits is how many polls with a short wait take the time of a usual one.
	shortWaits = 4
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
		answered, again := p.poll(req)
		if again {
			continue
		}
		if answered {
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

// awaitSaved waits for the pause before a poll that the pool asks for.
func (p *poller) awaitSaved() {
	pause := p.pool.PollPause(p.worker)
	for began := p.Clock.Now(); pause > 0 && p.ctx.Err() == nil; pause = p.pool.PollPause(p.worker) {
		left := pause - p.Clock.Now().Sub(began)
		if left <= 0 {
			return
		}
		p.awaitKick(left)
	}
}

// interrupt ends the poll in progress, if there is one. A reply that has arrived by then
// is still applied.
func (p *poller) interrupt() {
	if poll := p.pending.Load(); poll != nil {
		poll.cancel()
	}
}

// endWait ends the poll in progress if the worker may hold its reply back, so that the next
// one shows at once what became of a start without an answer.
func (p *poller) endWait() {
	if poll := p.pending.Load(); poll != nil && poll.held {
		poll.withdrawn.Store(true)
		poll.cancel()
	}
}

// logLossy logs that the worker leaves some calls without an answer, at most once in
// lossyLogInterval.
func (p *poller) logLossy(req *scheduler.PollRequest) {
	if now := p.Clock.Now(); req.ShortWait && now.Sub(p.lossyLoggedAt) >= lossyLogInterval {
		p.lossyLoggedAt = now
		p.log.Info("worker leaves some calls without an answer", zap.String("worker", p.worker), zap.Duration("timeout", req.Timeout))
	}
}

// lossyLogInterval is about the time for which a faulty link is worth one line a worker.
const lossyLogInterval = 10 * time.Second

// poll sends one poll. answered is false if it failed or its reply was not applied; again
// tells that the next poll then has no pause before it.
func (p *poller) poll(req scheduler.PollRequest) (answered, again bool) {
	if !p.isValid() {
		return false, false
	}
	if req.Deadline > 0 && !req.AtOnce && !p.pool.HasUnsavedEnds(p.worker) && p.pool.HasRuns(p.worker) && req.Timeout <= p.timing.OrderTimeout {
		req.Wait = p.timing.PollWait
		if req.ShortWait {
			req.Wait /= shortWaits
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, req.Wait+max(req.Timeout, p.timing.OrderTimeout))
	defer cancel()
	pending := &pendingPoll{cancel: cancel, held: req.Wait > 0}
	p.pending.Store(pending)
	p.logLossy(&req)
	reply, answer := p.Workers.Poll(ctx, req)
	answer = p.checkFenced(p.worker, req.Token, answer)
	switch answer {
	case scheduler.Accepted:
		p.logged = answer
		applied := p.pool.ApplyPoll(reply)
		p.save.send()
		p.plan.send()
		return applied, false
	case scheduler.Fenced:
		return false, false
	}
	if p.ctx.Err() != nil {
		return false, false
	}
	if answer == scheduler.NoResponse && pending.withdrawn.Load() {
		answer = scheduler.Withdrawn
	}
	again = p.pool.PollFailed(p.worker, answer, p.Clock.Now())
	if !again && p.logged != answer { // not with every poll
		p.logged = answer
		p.log.Info("worker does not answer a lease poll", zap.String("worker", p.worker), zap.Stringer("answer", answer), zap.Duration("waited", req.Wait+req.Timeout),
			zap.Int64("acknowledges", req.AckedEnds), zap.Int64("call_token", req.Token))
	}
	p.plan.send()
	return false, again
}
