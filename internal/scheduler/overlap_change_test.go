package scheduler_test

import "time"

// changeOwner ends the present ownership in one of several ways, and schedules the next
// change.
func (s *overlapSim) changeOwner() {
	if s.noFaults || s.faults.ReadDelay > 0 || s.faults.NoLosses {
		return
	}
	s.after(s.between(3000, 8000), s.changeOwner)
	o := s.currentOwner()
	if o == nil {
		return
	}
	switch {
	case s.faults.OverlappingOwners || s.faults.ThreeOwners && s.chance(70):
		s.revokeOwnership(o)
	case s.chance(40):
		s.crashOwner(o)
	case s.chance(50):
		s.restartOwner(o)
	default:
		s.releaseOwner(o)
	}
	if s.faults.ThreeOwners && s.chance(80) {
		s.after(s.between(50, 1500), s.changeOwnerAgain)
	}
}

// changeOwnerAgain ends the present ownership while the owner before it may still work.
func (s *overlapSim) changeOwnerAgain() {
	o := s.currentOwner()
	if o == nil || s.noFaults {
		return
	}
	switch {
	case s.chance(40):
		s.revokeOwnership(o)
	case s.chance(50):
		s.releaseOwner(o)
	default:
		s.restartOwner(o)
	}
	if s.chance(40) {
		s.after(s.between(50, 1000), s.changeOwnerAgain)
	}
}

// crashOwner ends an owner's process. The pool is free once its lease has expired.
func (s *overlapSim) crashOwner(o *overlapOwner) {
	o.end("killed")
	s.after(s.between(800, 1800), func() { s.clearOwner(o.token) })
}

// restartOwner ends an owner's process. The next process of its entry takes the pool over.
func (s *overlapSim) restartOwner(o *overlapOwner) {
	o.end("killed, and its entry restarts")
	s.acquire(s.between(100, 700), o.token)
}

func (s *overlapSim) releaseOwner(o *overlapOwner) {
	if o.loaded && !o.releasing {
		o.release()
	}
}

// revokeOwnership ends an ownership in the store while its owner still works: until its
// lease has expired, or until it reads that the store names a later owner.
func (s *overlapSim) revokeOwnership(o *overlapOwner) {
	o.trace("has lost the ownership")
	if s.chance(75) {
		lease := s.between(200, int(timing.FormerOwnerLease/time.Millisecond))
		o.storeUnreachable, o.leaseUntil = true, s.now.Add(lease)
		o.trace("does not reach the store, and still works for %v", lease)
		o.after(lease, func() { o.end("the lease has expired") })
	} else {
		o.after(s.between(0, 1200), func() { o.end("the store names a later owner") })
	}
	s.clearOwner(o.token)
}

// clearOwner ends the ownership in the store, if it is still that of token.
func (s *overlapSim) clearOwner(token int64) {
	if s.store.owner == token {
		s.store.owner = 0
		s.acquireVacant()
	}
}

// acquireVacant has an entry take over the pool, which has no owner.
func (s *overlapSim) acquireVacant() { s.acquire(s.between(5, 100), 0) }

// acquire has an entry take the pool over after d. expected is the token of the
// ownership that it replaces: that of its own former process, or 0 for none.
func (s *overlapSim) acquire(d time.Duration, expected int64) {
	present := s.currentOwner()
	s.after(d, func() {
		token, ok := s.store.acquire(expected)
		if !ok {
			return
		}
		if present != nil {
			s.previousOwner = present
		}
		s.ownerSince = s.now
		active := s.owners[:0]
		for _, o := range s.owners {
			if !o.ended {
				active = append(active, o)
				s.previousOwner = o
			}
		}
		s.owners = append(active, newOverlapOwner(s, token, expected))
	})
}
