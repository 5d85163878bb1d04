package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/work"
)

// looker asks one worker what runs there, as long as the pool needs to know.
type looker struct {
	*tenure
	worker  string
	address string // where the worker was last looked at
	kick    signal
	told    work.Answer // the failure told last; Accepted: none since the last answer
}

const (
	// lookRetry is the pause after a look that failed; it doubles up to
	// lookRetryMost, well within the time that a run goes on without a look.
	lookRetry     = 100 * time.Millisecond
	lookRetryMost = 800 * time.Millisecond
	// retireEvery is how often an idle looker finds out whether its worker is
	// gone for good.
	retireEvery = 10 * time.Second
	// saveWait bounds how long a look waits for the progress of earlier ends
	// to be kept: a worker answers at once while it lists ends.
	saveWait = 400 * time.Millisecond
)

func (l *looker) run() {
	retry := lookRetry
	for l.ctx.Err() == nil {
		l.awaitSaved()
		req, due := l.pool.LookFor(l.worker, l.Clock.Now())
		if !due {
			if !l.awaitKick() || l.retire() {
				return
			}
			continue
		}
		l.address = req.Address
		if l.look(req) {
			retry = lookRetry
			continue
		}
		sleep(l.ctx, l.Clock, retry)
		retry = min(2*retry, lookRetryMost)
	}
}

// awaitKick waits until there may be something to look for, or the worker may
// be gone; false when the tenure has ended.
func (l *looker) awaitKick() bool {
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

// retire ends the looker of a worker that the pool no longer has.
func (l *looker) retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pool.Has(l.worker) {
		return false
	}
	delete(l.lookers, l.worker)
	l.Workers.Forget(l.address)
	return true
}

// awaitSaved waits until the ends taken in are kept.
func (l *looker) awaitSaved() {
	if !l.pool.Saving(l.worker) {
		return
	}
	timeout := l.Clock.NewTimer(saveWait)
	defer timeout.Stop()
	for l.pool.Saving(l.worker) {
		select {
		case <-l.ctx.Done():
			return
		case <-timeout.Chan():
			return
		case <-l.kick:
		}
	}
}

// look asks once; false when there was no answer.
func (l *looker) look(req work.LookRequest) bool {
	if !l.holds() {
		return false
	}
	if req.Deadline > 0 && !l.pool.Saving(l.worker) && l.pool.Busy(l.worker) {
		req.Wait = l.bounds.LookWait
	}
	ctx, cancel := context.WithTimeout(l.ctx, req.Wait+l.bounds.Order)
	defer cancel()
	look, answer := l.Workers.Look(ctx, req)
	switch answer {
	case work.Accepted:
		l.told = answer
		taken := l.pool.Looked(look)
		l.save.send()
		l.plan.send()
		return taken
	case work.Fenced:
		l.lose("a worker has seen a later owner")
		return false
	}
	if l.ctx.Err() != nil {
		return false
	}
	if l.told != answer { // not with every look
		l.told = answer
		l.log.Info("worker does not answer", zap.String("worker", l.worker), zap.Stringer("answer", answer))
	}
	l.pool.LookFailed(l.worker, answer, l.Clock.Now())
	l.plan.send()
	return false
}
