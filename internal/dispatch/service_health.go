package dispatch

import "time"

// recordHealth records the result of a request in the upstream's health, and
// ejects the upstream when that is due. At most half of the service's listed
// upstreams are ejected at a time.
func (s *service) recordHealth(u *upstream, e Completion, now time.Time) {
	eject := false
	if e.Feedback.Failed && !e.Feedback.Canceled {
		eject = u.health.Failed()
	} else {
		eject = u.health.Succeeded(e.Feedback.Took, s.latency.Or(0))
		s.latency.Add(e.serviceTime(s.latency.Or(0)))
	}
	if eject && s.mayEject(now) {
		u.health.Eject(now)
	}
}

// mayEject reports whether one more upstream may be ejected.
func (s *service) mayEject(now time.Time) bool {
	ejected, listed := 1, 0
	for _, u := range s.upstreams {
		if !u.listed {
			continue
		}
		listed++
		if u.health.Ejected(now) {
			ejected++
		}
	}
	return 2*ejected <= listed
}
