package entry

import (
	"time"

	"persimmonbay/internal/membership"
)

// skipFactor is for how many heartbeat intervals after a member's heartbeat this
// entry sends it none: more than one, so that the member's next heartbeat arrives
// first, and less than two, so that a single missing one is noticed.
const skipFactor = 1.5

// skipsHeartbeat reports whether this entry need not send m a heartbeat, since m
// sends them. Of each two entries the one with the smaller ID initiates the
// exchange, by which both learn the same; the other initiates one only when that
// heartbeat is overdue.
func (e *Entry) skipsHeartbeat(m membership.Member) bool {
	h := e.health.Get()
	if !h.storeReachable || !m.Registered || string(m.ID) > e.settings.ID || e.inForce.Get().Configuration == nil {
		return false
	}
	return m.Alive(e.clock.Now(), time.Duration(skipFactor*float64(e.settings.Membership.Heartbeat)))
}

// skipNone makes a round exchange heartbeats with every member.
func skipNone(membership.Member) bool { return false }
