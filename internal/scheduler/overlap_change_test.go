package scheduler_test

import "time"

// change has the pool's ownership change, in one of several ways.
func (s *overlapSim) change() {
	if s.calm {
		return
	}
	s.after(s.between(3000, 8000), s.change)
	o := s.last()
	if o == nil {
		return
	}
	switch {
	case s.knobs.Overlap || s.knobs.Chain && s.chance(70):
		s.takeAway(o)
	case s.chance(40):
		s.kill(o)
	case s.chance(50):
		s.restart(o)
	default:
		s.release(o)
	}
	if s.knobs.Chain && s.chance(80) {
		s.after(s.between(50, 1500), s.changeAgain)
	}
}

// changeAgain has the next owner followed while the earlier one may be at work.
func (s *overlapSim) changeAgain() {
	o := s.last()
	if o == nil || s.calm {
		return
	}
	switch {
	case s.chance(40):
		s.takeAway(o)
	case s.chance(50):
		s.release(o)
	default:
		s.restart(o)
	}
	if s.chance(40) {
		s.after(s.between(50, 1000), s.changeAgain)
	}
}

// kill ends an owner at once; its lease runs out.
func (s *overlapSim) kill(o *overlapOwner) {
	o.lose("killed")
	s.after(s.between(800, 1800), func() { s.revoke(o.token) })
}

// restart ends an owner at once; its entry's next incarnation takes the pool over.
func (s *overlapSim) restart(o *overlapOwner) {
	o.lose("killed, and its entry starts again")
	s.acquire(s.between(100, 700), o.token)
}

func (s *overlapSim) release(o *overlapOwner) {
	if o.loaded && !o.leaving {
		o.release()
	}
}

// takeAway takes the ownership away while its owner works on.
func (s *overlapSim) takeAway(o *overlapOwner) {
	o.trace("has lost the ownership")
	if s.chance(75) {
		lease := s.between(200, int(timing.FormerOwnerLease/time.Millisecond))
		o.deaf, o.until = true, s.now.Add(lease)
		o.trace("does not reach the store, and goes on for %v", lease)
		o.after(lease, func() { o.lose("the lease has ended") })
	} else {
		o.after(s.between(0, 1200), func() { o.lose("the store names a later owner") })
	}
	s.revoke(o.token)
}

// revoke takes the ownership from the store, if token still has it.
func (s *overlapSim) revoke(token int64) {
	if s.store.owner == token {
		s.store.owner = 0
		s.vacant()
	}
}

// vacant has an entry take the pool over that nobody owns.
func (s *overlapSim) vacant() { s.acquire(s.between(5, 100), 0) }

// acquire has an entry take the pool over; expected is the ownership of its own
// earlier incarnation, or 0.
func (s *overlapSim) acquire(d time.Duration, expected int64) {
	last := s.last()
	s.after(d, func() {
		token, ok := s.store.acquire(expected)
		if !ok {
			return
		}
		if last != nil {
			s.earlier = last
		}
		s.changed = s.now
		kept := s.owners[:0]
		for _, o := range s.owners {
			if !o.over {
				kept = append(kept, o)
				s.earlier = o
			}
		}
		s.owners = append(kept, newOverlapOwner(s, token, expected))
	})
}
