package dispatch

import (
	"slices"

	"persimmonbay/internal/fleet"
)

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

func (s *service) upstream(id string) *upstream {
	for _, u := range s.upstreams {
		if u.instance.ID == id {
			return u
		}
	}
	return nil
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

func (s *service) anyLeft(tried []string) bool {
	for _, u := range s.upstreams {
		if u.listed && !slices.Contains(tried, u.instance.ID) {
			return true
		}
	}
	return false
}
