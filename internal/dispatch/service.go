package dispatch

import (
	"slices"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/routing"
)

// leastUnsure is the shortest time for which the slot of a request that broke
// off stays taken.
const leastUnsure = time.Second

// service is the state of one service on this entry: who waits, the slots it
// holds and its upstreams' health. It is not safe for concurrent use; its
// servicing shard's lock guards it.
type service struct {
	zone      string
	timeout   time.Duration // of the service's requests
	capacity  int           // slots of one upstream
	members   int           // entries
	order     admission.Order
	trusted   time.Time // until when the store's confirmation of this entry holds
	upstreams []*upstream
	retries   []*admission.Ticket // those that were tried elsewhere go first
	latency   admission.Estimate
	offset    int
	scratch   []routing.Candidate
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

func (s *service) anyLeft(tried []string) bool {
	for _, u := range s.upstreams {
		if u.listed && !slices.Contains(tried, u.instance.ID) {
			return true
		}
	}
	return false
}

// width is how many requests of this entry can be at work at once.
func (s *service) width() int {
	sum := 0
	for _, u := range s.upstreams {
		if u.listed {
			sum += u.holding.Held
		}
	}
	return max(sum, s.listed())
}

// listed is how many upstreams may receive new work.
func (s *service) listed() int {
	n := 0
	for _, u := range s.upstreams {
		if u.listed {
			n++
		}
	}
	return n
}

func (s *service) choose(tried []string, now time.Time) *upstream {
	s.scratch = s.scratch[:0]
	for _, u := range s.upstreams {
		c := routing.Candidate{AvailabilityZone: u.instance.AvailabilityZone, Free: u.free(now, now.Before(s.trusted)), InUse: u.holding.InUse}
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

// judge takes in the upstream's health, and ejects it unless half of the
// service's upstreams are out already.
func (s *service) judge(u *upstream, e End, now time.Time) {
	eject := false
	if e.Feedback.Failed && !e.Feedback.Canceled {
		eject = u.health.Failed()
	} else {
		eject = u.health.Succeeded(e.Feedback.Took, s.latency.Or(0))
		s.latency.Add(e.Feedback.Took)
	}
	if eject && s.mayEject(now) {
		u.health.Eject(now)
	}
}

func (s *service) mayEject(now time.Time) bool {
	out, listed := 1, 0
	for _, u := range s.upstreams {
		if !u.listed {
			continue
		}
		listed++
		if u.health.Ejected(now) {
			out++
		}
	}
	return 2*out <= listed
}

func (s *service) upstream(id string) *upstream {
	for _, u := range s.upstreams {
		if u.instance.ID == id {
			return u
		}
	}
	return nil
}

// pump starts what waits while there is room.
func (s *service) pump(now time.Time) {
	s.pumpRetries(now)
	for s.order.Len() > 0 {
		u := s.choose(nil, now)
		if u == nil {
			return
		}
		t, charge := s.order.Next(now)
		if t == nil {
			return
		}
		t.Receiver.Placed(s.start(u, charge).Instance, charge)
	}
}

func (s *service) pumpRetries(now time.Time) {
	if len(s.retries) == 0 {
		return
	}
	s.retries = slices.DeleteFunc(s.retries, func(t *admission.Ticket) bool {
		if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
			t.Receiver.Shed()
			return true
		}
		u := s.choose(t.Tried, now)
		if u == nil {
			return false
		}
		charge, _ := s.order.Start(t.Class, t.Team, true)
		t.Receiver.Placed(s.start(u, charge).Instance, charge)
		return true
	})
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
	s.distrust(now)
	s.order.Refresh(s.width(), s.capacity*s.listed()/max(s.members, 1), now)
	s.pump(now)
}

// distrust hands back what nobody vouches for any more: it may be lent to others
// by the time the store confirms this entry again.
func (s *service) distrust(now time.Time) {
	if now.Before(s.trusted) {
		return
	}
	for _, u := range s.upstreams {
		if !u.vouched(now) {
			u.holding.Leave()
		}
	}
}

// list takes over the instances that may receive new work. One that has gone
// is kept while requests are at work on it.
func (s *service) list(instances []fleet.Instance) {
	for _, u := range s.upstreams {
		u.listed = false
	}
	for _, i := range instances {
		u := s.upstream(i.ID)
		if u == nil {
			u = &upstream{}
			s.upstreams = append(s.upstreams, u)
		}
		u.instance, u.listed = i, true
	}
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u *upstream) bool { return !u.listed && u.holding.InUse == 0 })
}
