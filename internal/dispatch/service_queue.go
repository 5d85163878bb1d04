package dispatch

import (
	"slices"
	"time"

	"persimmonbay/internal/admission"
)

// startQueued starts queued requests while slots are free, retries first.
func (s *service) startQueued(now time.Time) {
	s.startQueuedRetries(now)
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

// startQueuedRetries sheds the queued retries that can no longer be answered before
// their deadline and starts those for which another upstream has a free slot.
func (s *service) startQueuedRetries(now time.Time) {
	if len(s.retries) == 0 {
		return
	}
	s.retries = slices.DeleteFunc(s.retries, func(t *admission.Ticket) bool {
		if t.TooLate(now, s.latency.Or(0)) {
			t.Receiver.Shed()
			return true
		}
		u := s.choose(t.ExcludedInstances, now)
		if u == nil {
			return false
		}
		charge, _ := s.order.Start(t.Class, t.Team, true)
		t.Receiver.Placed(s.start(u, charge).Instance, charge)
		return true
	})
}
