package maintenance

import "time"

// MayAct reports whether an entry may send work by records that the store last
// confirmed at the given time. It may until the fence has passed.
//
// Afterwards it may only in an outage of the store, and an entry alone can't
// distinguish that from its own disconnection. So it must have recent
// heartbeats of a majority of the entries that it knows, of which none reaches
// the store or acts on newer records. It must also have those of a majority of
// the entries in the roster, which must contain the entry itself, since the
// controllers count by the roster which entries are lost.
func MayAct(now, confirmed time.Time, fence time.Duration, revision uint64, self string, roster EntryRoster, peers []PeerReport) bool {
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
		if p.StoreReachable || p.Revision > revision {
			return false
		}
		recent++
		if roster.Contains(p.Entry) {
			recentInRoster++
		}
	}
	return recentInRoster > 1 && 2*recent > 1+len(peers) && 2*recentInRoster > len(roster.Entries)
}
