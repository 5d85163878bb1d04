package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// adviceService is the advice service in virtual time. It handles one call after the other,
// also those that were given up, and refuses calls once maxWaitingCalls wait.
type adviceService struct {
	s          *scene
	policy     scheduler.AdvicePolicy
	refuses    map[string]bool // workers that it grants for no step
	refusesJob string          // the job that it grants no worker; empty: none
	freeAt     time.Time       // when it has handled all calls that it has accepted
	calls      []*adviceCall
	handled    int
}

const maxWaitingCalls = 32

// call begins a call of the pool.
func (a *adviceService) call(r scheduler.AdviceRequest) {
	c := &adviceCall{request: r, sentAt: a.s.now, outcomeAt: a.s.now}
	a.calls = append(a.calls, c)
	takes := a.policy.DecideTime + time.Duration(len(r.Workers))*a.policy.PerWorker
	if a.freeAt.Sub(a.s.now) > maxWaitingCalls*takes {
		return // refused at once
	}
	a.freeAt = scheduler.Later(a.freeAt, a.s.now).Add(takes)
	c.outcomeAt, c.answered = a.freeAt, true
	if giveUpAt := a.s.now.Add(r.Timeout); c.outcomeAt.After(giveUpAt) {
		c.outcomeAt, c.answered = giveUpAt, false
	}
}

// tick passes the outcomes that are due to the pool.
func (a *adviceService) tick() {
	var open []*adviceCall
	for _, c := range a.calls {
		if a.s.now.Before(c.outcomeAt) {
			open = append(open, c)
			continue
		}
		a.handled++
		reply := scheduler.AdviceReply{SentAt: c.sentAt, Answered: c.answered}
		if c.answered {
			reply.Granted = map[string]string{}
			for _, id := range c.request.Workers {
				if !a.refuses[id] && c.request.Job != a.refusesJob {
					reply.Granted[id] = "ticket"
				}
			}
		}
		a.s.pool.ApplyAdvice(c.request, reply, a.s.now)
	}
	a.calls = open
}
