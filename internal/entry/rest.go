package entry

import (
	"time"

	"persimmonbay/internal/membership"
)

// restFactor is for how many heartbeat intervals an entry rests on what it
// heard of a member: more than one, so that the member's next heartbeat comes
// first, and less than two, so that one that stays away is missed once.
const restFactor = 1.5

// rests reports whether m's own regular heartbeat need not be answered by one
// from here. Of each two entries the one with the smaller ID asks, and both
// learn the same; the other asks only when it has not heard it.
func (e *Entry) rests(m membership.Member) bool {
	h := e.health.Get()
	if !h.storeReachable || !m.Registered || string(m.ID) > e.settings.ID || e.inForce.Get().Configuration == nil {
		return false
	}
	return m.Alive(e.clock.Now(), time.Duration(restFactor*float64(e.settings.Membership.Heartbeat)))
}

// everyone has a round ask every member.
func everyone(membership.Member) bool { return false }
