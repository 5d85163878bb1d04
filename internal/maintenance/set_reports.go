package maintenance

import "time"

// SetReports sets whose acknowledgements a plan needs, from the reports of all
// entries that are registered or known.
//
// A registered entry and one whose heartbeat is recent must acknowledge. An
// entry that is neither stops sending work by itself once the fence, the time
// for which it acts without confirmation by the store (see MayAct), has passed.
// An instance that leaves must therefore have been leaving for that long
// (LeavingWait). steadyFor is how long the controller has watched all entries
// without one disappearing. Until it reaches the sum of the fence and a lease's
// time to live, an entry may have disappeared unnoticed, and the same wait
// applies.
//
// Complete requires recent heartbeats of a majority of the entries. During an
// outage of the store, entries act only as a majority too, so the two
// majorities share an entry, which reports the revision it acts on. The stored
// roster must also match the registered entries, and the lost entries must be
// outnumbered.
func (s *Snapshot) SetReports(reports []EntryReport, steadyFor, fence, leaseTTL time.Duration) {
	recent := 0
	s.Entries = reports
	if steadyFor < fence+leaseTTL {
		s.LeavingWait = fence
	}
	for _, report := range reports {
		if report.Recent {
			recent++
		}
		if !report.Registered && !report.Recent {
			s.LeavingWait = fence
			continue
		}
		if !report.Recent {
			report.Revision = 0
		}
		s.Acknowledgements = append(s.Acknowledgements, Acknowledgement{Entry: report.Entry, Revision: report.Revision})
	}
	s.Complete = 2*recent > len(reports) && s.Roster.Matches(reports) && s.Roster.LostOutnumbered(fence+leaseTTL)
}
