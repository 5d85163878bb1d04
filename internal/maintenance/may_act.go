package maintenance

import "time"

// MayAct reports whether an entry may send work by records that the store last
// confirmed at the given time. It may for the duration of the fence after the
// confirmation.
//
// Afterwards it may do so only in an outage of the store, which an entry alone
// can't distinguish from its own disconnection. So it must have recent
// heartbeats of a majority of the entries that it knows, and none of those may
// reach the store or act on a change of the records after completeTo, the revision
// of the store up to which this entry's records are complete. It must also have
// recent heartbeats of a majority of the entries in the roster, itself included:
// the controllers decide by the roster which entries are lost.
func MayAct(now, confirmed time.Time, fence time.Duration, completeTo uint64, self string, roster EntryRoster, peers []PeerReport) bool {
	if now.Sub(confirmed) <= fence {
		return true
	}
	if !roster.Contains(self) {
		return false
	}
	recent, recentInRoster := 1, 1
	for _, p := range peers {
		if !p.Recent {
			continue
		}
		if p.StoreReachable || p.Revision > completeTo {
			return false
		}
		recent++
		if roster.Contains(p.Entry) {
			recentInRoster++
		}
	}
	return recentInRoster > 1 && 2*recent > 1+len(peers) && 2*recentInRoster > len(roster.Entries)
}
