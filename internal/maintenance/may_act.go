package maintenance

import "time"

// MayAct reports whether an entry may send work by records that the store
// confirmed at the given time. After the fence it may only while it takes part
// in an outage of the store: it hears most of the entries that it knows, none
// of which reaches the store or has newer records. Alone it cannot tell an
// outage from being cut off. The same must hold of the entries that the roster
// names, self among them: the others count by the roster who is lost.
func MayAct(now, confirmed time.Time, fence time.Duration, revision uint64, self string, roster EntryRoster, peers []PeerReport) bool {
	if now.Sub(confirmed) <= fence {
		return true
	}
	if !roster.Names(self) {
		return false
	}
	heard, heardNamed := 1, 1
	for _, p := range peers {
		if !p.Recent {
			continue
		}
		if p.StoreReachable || p.Revision > revision {
			return false
		}
		heard++
		if roster.Names(p.Entry) {
			heardNamed++
		}
	}
	return heardNamed > 1 && 2*heard > 1+len(peers) && 2*heardNamed > len(roster.Entries)
}
