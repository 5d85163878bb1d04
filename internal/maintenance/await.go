package maintenance

import "time"

// Await notes whose acknowledgement plans must wait for. An entry that is
// registered or heard must give its word. One that is neither has stopped by
// itself once the fence has passed since something began to leave. steadyFor
// tells for how long the controller has seen every entry and none go; until
// that is the fence and a lease's time to live, one may be gone unseen. Most
// of the entries must be heard in any case: those that take part in an outage
// of the store are most of them too, so that one of them would know. Those that
// the roster shows as lost must be outnumbered for long enough by the others.
func (s *Snapshot) Await(words []EntryReport, steadyFor, fence, leaseTTL time.Duration) {
	heard := 0
	s.Entries = words
	if steadyFor < fence+leaseTTL {
		s.Settle = fence
	}
	for _, w := range words {
		if w.Recent {
			heard++
		}
		if !w.Registered && !w.Recent {
			s.Settle = fence
			continue
		}
		if !w.Recent {
			w.Revision = 0
		}
		s.Acknowledgements = append(s.Acknowledgements, Acknowledgement{Entry: w.Entry, Revision: w.Revision})
	}
	s.Complete = 2*heard > len(words) && s.Roster.Matches(words) && s.Roster.Outnumbered(fence+leaseTTL)
}
