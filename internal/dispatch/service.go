package dispatch

import (
	"slices"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/routing"
)

// minUnansweredTime is the shortest time for which the slot of a request without
// a whole answer stays in use, since the upstream may still work on it.
const minUnansweredTime = time.Second

// service is the state of one service on this entry: the queued requests, the
// slots that the entry holds and the health of the upstreams. It is not safe for
// concurrent use; the lock of its serviceShard guards it.
type service struct {
	zone           string
	timeout        time.Duration // of the service's requests
	capacity       int           // slots of one upstream
	members        int           // number of entries
	order          admission.Order
	confirmedUntil time.Time // end of the store's confirmation of this entry's registration
	upstreams      []*upstream
	retries        []*admission.Ticket // queued requests that were tried on another instance; they start first
	latency        admission.Estimate  // mean time of a request
	offset         int                 // changes with each choice, to spread requests over equal candidates
	scratch        []routing.Candidate // reused by choose
}

// acquire starts t at once, queues it or refuses it.
func (s *service) acquire(t *admission.Ticket, now time.Time) (Start, admission.Verdict) {
	if !s.hasUntried(t.ExcludedInstances) {
		return Start{}, admission.NoInstanceLeft
	}
	if len(t.ExcludedInstances) > 0 {
		return s.acquireRetry(t, now)
	}
	if len(s.retries) == 0 && s.order.MayStartNow(t) {
		if u := s.choose(nil, now); u != nil {
			if charge, ok := s.order.Start(t.Class, t.Team, false); ok {
				return s.start(u, charge), admission.Started
			}
		}
	}
	return Start{}, s.order.Offer(t, s.concurrency(), now)
}

// acquireRetry starts a request that was tried on another instance, regardless
// of its team's share, or queues it ahead of the order.
func (s *service) acquireRetry(t *admission.Ticket, now time.Time) (Start, admission.Verdict) {
	if u := s.choose(t.ExcludedInstances, now); u != nil {
		charge, _ := s.order.Start(t.Class, t.Team, true)
		return s.start(u, charge), admission.Started
	}
	if len(s.retries) >= s.capacity*len(s.upstreams) {
		return Start{}, admission.QueueFull
	}
	s.retries = append(s.retries, t)
	return Start{}, admission.Queue
}

// choose returns the upstream for the next request among those that are not in
// excluded, or nil when none has a free slot.
func (s *service) choose(excluded []string, now time.Time) *upstream {
	s.scratch = s.scratch[:0]
	for _, u := range s.upstreams {
		c := routing.Candidate{AvailabilityZone: u.instance.AvailabilityZone, Free: u.free(now, now.Before(s.confirmedUntil)), InUse: u.holding.InUse}
		if len(excluded) > 0 && slices.Contains(excluded, u.instance.ID) {
			c.Free = 0
		}
		s.scratch = append(s.scratch, c)
	}
	s.offset++
	if i := routing.Choose(s.scratch, s.zone, s.offset); i >= 0 {
		return s.upstreams[i]
	}
	return nil
}

// start takes a slot of u for a request.
func (s *service) start(u *upstream, charge time.Duration) Start {
	u.holding.Acquire()
	return Start{Instance: u.instance, Charge: charge}
}

// release ends a started request, records how it went and starts queued
// requests. The slot of a request without a whole answer stays in use until the
// request has timed out on the upstream.
func (s *service) release(e Completion, now time.Time) {
	s.order.Finish(e.Class, e.Team, e.Charge, e.serviceTime(e.Charge))
	if u := s.upstream(e.Upstream); u != nil {
		s.recordHealth(u, e, now)
		if e.Feedback.Sent && !e.Feedback.Answered {
			u.unanswered = append(u.unanswered, now.Add(max(s.timeout-e.Feedback.Took, minUnansweredTime)))
		} else {
			u.holding.Release()
		}
	}
	s.startQueued(now)
}

// withdraw removes a ticket whose caller has gone, and reports whether it was
// still queued.
func (s *service) withdraw(t *admission.Ticket) bool {
	if t.Queued() {
		s.order.Withdraw(t)
		return true
	}
	before := len(s.retries)
	s.retries = slices.DeleteFunc(s.retries, func(other *admission.Ticket) bool { return other == t })
	return len(s.retries) < before
}

// tick does the work that depends on the time alone.
func (s *service) tick(now time.Time) {
	for _, u := range s.upstreams {
		u.releaseExpired(now)
	}
	s.returnUnconfirmed(now)
	s.order.Refresh(s.concurrency(), s.capacity*s.listed()/max(s.members, 1), now)
	s.startQueued(now)
}

// returnUnconfirmed returns idle slots once the store's confirmation of this entry
// has expired, except those with a recent acknowledgement by another home. By the
// time the store confirms the entry again, they may be lent to others.
func (s *service) returnUnconfirmed(now time.Time) {
	if now.Before(s.confirmedUntil) {
		return
	}
	for _, u := range s.upstreams {
		if !u.acknowledged(now) {
			u.holding.ReturnIdle()
		}
	}
}
