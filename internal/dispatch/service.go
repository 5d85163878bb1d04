package dispatch

import (
	"slices"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/routing"
)

// leastUnsure is the shortest time for which the slot of a request that broke
// off stays taken.
const leastUnsure = time.Second

// service is the state of one service on this entry: who waits, the slots it
// holds and its upstreams' health. It is not safe for concurrent use; its
// shard's lock guards it.
type service struct {
	zone           string
	timeout        time.Duration // of the service's requests
	capacity       int           // slots of one upstream
	members        int           // entries
	order          admission.Order
	confirmedUntil time.Time // until when the store's confirmation of this entry holds
	upstreams      []*upstream
	retries        []*admission.Ticket // those that were tried elsewhere go first
	latency        admission.Estimate
	offset         int
	scratch        []routing.Candidate
}

// acquire starts t at once, queues it or refuses it.
func (s *service) acquire(t *admission.Ticket, now time.Time) (Start, admission.Verdict) {
	if !s.anyLeft(t.Tried) {
		return Start{}, admission.NoneLeft
	}
	if len(t.Tried) > 0 {
		return s.acquireAgain(t, now)
	}
	if len(s.retries) == 0 && s.order.Alone(t) {
		if u := s.choose(nil, now); u != nil {
			if charge, ok := s.order.Start(t.Class, t.Team, false); ok {
				return s.start(u, charge), admission.Started
			}
		}
	}
	return Start{}, s.order.Offer(t, s.width(), now)
}

func (s *service) acquireAgain(t *admission.Ticket, now time.Time) (Start, admission.Verdict) {
	if u := s.choose(t.Tried, now); u != nil {
		charge, _ := s.order.Start(t.Class, t.Team, true)
		return s.start(u, charge), admission.Started
	}
	if len(s.retries) >= s.capacity*len(s.upstreams) {
		return Start{}, admission.Full
	}
	s.retries = append(s.retries, t)
	return Start{}, admission.Queue
}

func (s *service) choose(tried []string, now time.Time) *upstream {
	s.scratch = s.scratch[:0]
	for _, u := range s.upstreams {
		c := routing.Candidate{AvailabilityZone: u.instance.AvailabilityZone, Free: u.free(now, now.Before(s.confirmedUntil)), InUse: u.holding.InUse}
		if len(tried) > 0 && slices.Contains(tried, u.instance.ID) {
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

func (s *service) start(u *upstream, charge time.Duration) Start {
	u.holding.Take()
	return Start{Instance: u.instance, Charge: charge}
}

// release takes in how a request went and gives its slot to the next.
func (s *service) release(e End, now time.Time) {
	took := e.Feedback.Took
	if !e.Feedback.Sent {
		took = e.Charge // nothing was learned
	}
	s.order.Finish(e.Class, e.Team, e.Charge, took)
	if u := s.upstream(e.Upstream); u != nil {
		s.judge(u, e, now)
		if e.Feedback.Sent && !e.Feedback.Answered {
			u.unsure = append(u.unsure, now.Add(max(s.timeout-took, leastUnsure)))
		} else {
			u.holding.Release()
		}
	}
	s.pump(now)
}

// withdraw forgets a ticket whose caller has gone, and reports whether it
// still waited.
func (s *service) withdraw(t *admission.Ticket) bool {
	if t.Queued() {
		s.order.Withdraw(t)
		return true
	}
	before := len(s.retries)
	s.retries = slices.DeleteFunc(s.retries, func(other *admission.Ticket) bool { return other == t })
	return len(s.retries) < before
}

// tick does what falls due with time alone.
func (s *service) tick(now time.Time) {
	for _, u := range s.upstreams {
		u.settle(now)
	}
	s.endConfirmation(now)
	s.order.Refresh(s.width(), s.capacity*s.listed()/max(s.members, 1), now)
	s.pump(now)
}

// endConfirmation hands back what nobody vouches for any more: it may be lent to others
// by the time the store confirms this entry again.
func (s *service) endConfirmation(now time.Time) {
	if now.Before(s.confirmedUntil) {
		return
	}
	for _, u := range s.upstreams {
		if !u.acknowledged(now) {
			u.holding.ReturnIdle()
		}
	}
}
