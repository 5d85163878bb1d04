package dispatch

import (
	"slices"

	"persimmonbay/internal/fleet"
)

// setInstances sets the instances that may receive new work. An upstream that is
// no longer among them is removed once no request runs on it.
func (s *service) setInstances(instances []fleet.Instance) {
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

// upstream returns the upstream with this instance ID, or nil.
func (s *service) upstream(id string) *upstream {
	for _, u := range s.upstreams {
		if u.instance.ID == id {
			return u
		}
	}
	return nil
}

// listed returns how many upstreams may receive new work.
func (s *service) listed() int {
	n := 0
	for _, u := range s.upstreams {
		if u.listed {
			n++
		}
	}
	return n
}

// concurrency returns how many requests of this entry can run at once; at least
// one for each listed upstream.
func (s *service) concurrency() int {
	sum := 0
	for _, u := range s.upstreams {
		if u.listed {
			sum += u.holding.Held
		}
	}
	return max(sum, s.listed())
}

// hasUntried reports whether an upstream that is not in excluded may receive new
// work.
func (s *service) hasUntried(excluded []string) bool {
	for _, u := range s.upstreams {
		if u.listed && !slices.Contains(excluded, u.instance.ID) {
			return true
		}
	}
	return false
}
