package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// Pauses as in poolmanager's pollers.
const (
	pollRetry    = 100 * time.Millisecond
	maxPollRetry = 800 * time.Millisecond
	shortWaits   = 4                // polls with a short wait take the time of a usual one
	retireEvery  = 10 * time.Second // how often an idle poller checks that the pool has its worker
)

// kick wakes the poller of a worker.
func (o *overlapOwner) kick(worker string) {
	p := o.pollers[worker]
	if p == nil {
		return
	}
	p.kicked = true
	if p.idle {
		p.idle = false
		o.after(0, func() { o.continuePolling(p) })
	}
}

// continuePolling takes the next step of a poller: it waits for ends to be saved, sends a
// poll that is due, or waits for a kick.
func (o *overlapOwner) continuePolling(p *overlapPoller) {
	if o.ended {
		return
	}
	if p.pausedAt.IsZero() {
		p.pausedAt = o.s.now
	}
	if pause := o.pool.PollPause(p.worker); o.s.now.Before(p.pausedAt.Add(pause)) {
		o.after(5*time.Millisecond, func() { o.continuePolling(p) })
		return
	}
	p.pausedAt = time.Time{}
	req, due := o.pool.NextPoll(p.worker, o.s.now)
	if !due {
		if p.kicked {
			p.kicked = false
			o.after(time.Millisecond, func() { o.continuePolling(p) })
			return
		}
		p.idle = true
		o.after(retireEvery, func() { o.retire(p) })
		return
	}
	p.kicked = false
	p.address = req.Address
	if !o.mayAct() {
		o.failed(p)
		return
	}
	o.poll(p, req)
}

// retire ends an idle poller if the pool no longer has its worker; otherwise it goes on.
func (o *overlapOwner) retire(p *overlapPoller) {
	if !p.idle || o.pollers[p.worker] != p {
		return
	}
	p.idle = false
	if !o.pool.HasWorker(p.worker) {
		delete(o.pollers, p.worker)
		return
	}
	o.continuePolling(p)
}

// failed has the poller continue after the pause that follows a poll without a reply.
func (o *overlapOwner) failed(p *overlapPoller) {
	p.connected = false
	o.after(p.retry+o.pollPause(), func() { o.continuePolling(p) })
	p.retry = min(2*p.retry, maxPollRetry)
}

func (o *overlapOwner) poll(p *overlapPoller, req scheduler.PollRequest) {
	if req.Deadline > 0 && !req.AtOnce && !o.pool.HasUnsavedEnds(p.worker) && o.pool.HasRuns(p.worker) && req.Timeout <= orderTimeout {
		req.Wait = pollWait
		if req.ShortWait {
			req.Wait /= shortWaits
		}
	}
	pollFailed := func(result scheduler.OrderResult) {
		if result == scheduler.Fenced && o.pool.TokenRaised(p.worker, req.Token) {
			result = scheduler.Superseded
		}
		switch {
		case o.ended:
		case result == scheduler.Fenced:
			o.end("fenced by " + p.worker)
		default:
			o.trace("poll of %s failed: %s", p.worker, result)
			again := o.pool.PollFailed(p.worker, result, o.s.now)
			o.kickPlan()
			if again {
				p.connected = false
				o.after(o.pollPause(), func() { o.continuePolling(p) })
				return
			}
			o.failed(p)
		}
	}
	o.s.dial(p, req.Timeout, func() { o.sendPoll(p, req, pollFailed) }, pollFailed)
}

// sendPoll sends a poll on an open connection.
func (o *overlapOwner) sendPoll(p *overlapPoller, req scheduler.PollRequest, pollFailed func(scheduler.OrderResult)) {
	if o.ended {
		return
	}
	sent, over := o.s.now, false
	finish := func(do func()) {
		if !over {
			over, p.endWait = true, nil
			do()
		}
	}
	if req.Wait > 0 {
		p.endWait = func() { finish(func() { pollFailed(scheduler.Withdrawn) }) }
	}
	o.s.call(req.Address, req.Wait+req.Timeout, func(sentTo, inc *overlapIncarnation, send func(func())) {
		if req.Incarnation != sentTo.startedAtMillis() {
			req.Deadline, req.AckedEnds, req.Wait = 0, 0, 0
		}
		result := o.s.poll(inc, req)
		if result != scheduler.Accepted {
			send(func() { finish(func() { pollFailed(result) }) })
			return
		}
		o.s.awaitEnd(inc, req.Wait, func() {
			reply := inc.pollReply(req, sent, o.s.now, o.s.faults.EndsPerReply)
			o.s.endsListed(inc, reply.Ends)
			send(func() { finish(func() { o.replyArrived(p, inc, reply, req.Deadline > 0) }) })
		})
	}, func(result scheduler.OrderResult) { finish(func() { pollFailed(result) }) })
}

// replyArrived has a reply applied, later if this owner is slow.
func (o *overlapOwner) replyArrived(p *overlapPoller, inc *overlapIncarnation, reply scheduler.PollReply, extended bool) {
	if o.s.faults.ReadDelay == 0 {
		o.pollAnswered(p, inc, reply, extended)
		return
	}
	o.s.endsArrived(inc, reply.Ends)
	o.after(o.readDelay(), func() { o.pollAnswered(p, inc, reply, extended) })
}

// readDelay returns how long an answer that has arrived waits to be applied.
func (o *overlapOwner) readDelay() time.Duration {
	if o.s.faults.ReadDelay == 0 || o.s.noFaults {
		return 0
	}
	return time.Duration(o.random.Int63n(int64(o.s.faults.ReadDelay)))
}

// pollAnswered applies a reply. extended tells whether its poll extended leases.
func (o *overlapOwner) pollAnswered(p *overlapPoller, inc *overlapIncarnation, reply scheduler.PollReply, extended bool) {
	if o.ended {
		return
	}
	reply.ReceivedAt = o.s.now
	for _, e := range reply.Ends {
		o.s.log(e.Task.Job, e.Task, inc.name, "owner %d receives end %d of %v attempt %d on %s: %s; ends acknowledged up to %d", o.token, e.Number, e.Task, e.Attempt, inc.name, e.Kind, reply.AckedEnds)
	}
	o.pool.ApplyPoll(reply)
	p.retry, p.connected = pollRetry, true
	o.kickPlan()
	if extended && o.pool.Loading() {
		o.pauseLoading(p)
		return
	}
	if pause := o.pollPause(); pause > 0 {
		o.after(pause, func() { o.continuePolling(p) })
		return
	}
	o.continuePolling(p)
}
