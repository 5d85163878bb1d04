package maintenance

import "fmt"

// Blocker is a reason why a wave takes no further instance at present. A
// blocker goes away once its cause does.
type Blocker struct {
	Pool   string `json:"pool,omitempty"` // empty: the whole wave waits
	Reason string `json:"reason"`
}

// fleetBlocker returns why the whole wave waits, or an empty string.
func (s *Snapshot) fleetBlocker(p Policy) string {
	if reason := s.Roster.blocker(p); reason != "" {
		return reason
	}
	missing, limit := s.countUnplanned(p), p.failureLimit(len(s.Records))
	if missing < limit {
		return ""
	}
	return fmt.Sprintf("%d instances are missing unplanned; the wave waits while %d or more are", missing, limit)
}

// countUnplanned counts the instances that are not live although no plan has
// taken them out of service. An overdue reboot counts too, until the instance
// is lost.
func (s *Snapshot) countUnplanned(p Policy) int {
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
