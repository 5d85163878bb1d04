package maintenance

import "fmt"

// Blocker is a reason why a wave does not go on. It ends by itself when its cause
// is gone.
type Blocker struct {
	Pool   string `json:"pool,omitempty"` // empty: the whole wave waits
	Reason string `json:"reason"`
}

// fleetBlocker says why the whole wave waits, or nothing.
func (s *Snapshot) fleetBlocker(p Policy) string {
	if reason := s.Roster.hold(p); reason != "" {
		return reason
	}
	missing, limit := s.unplanned(p), p.failureLimit(len(s.Records))
	if missing < limit {
		return ""
	}
	return fmt.Sprintf("%d instances are missing without a plan; the wave waits while there are %d or more", missing, limit)
}

// unplanned counts the instances that are away without a plan for it.
func (s *Snapshot) unplanned(p Policy) int {
	missing := 0
	for id, r := range s.Records {
		v, reserved := s.Disruptions.Find(id)
		switch {
		case r.Phase == Rebooting:
			if p.overdue(r, s.Now) {
				missing++
			}
		case !s.live(id) && (!reserved || v.Kind == ForReboot):
			missing++
		}
	}
	return missing
}
