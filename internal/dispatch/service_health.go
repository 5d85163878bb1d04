package dispatch

import "time"

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
