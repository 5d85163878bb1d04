package maintenance

import "time"

// MayAct reports whether an entry may send work by records that the store
// confirmed at the given time. After the fence it may only while it takes part
// in an outage of the store: it hears most of the entries that it knows, none
// of which reaches the store or has newer records. Alone it cannot tell an
// outage from being cut off.
func MayAct(now, confirmed time.Time, fence time.Duration, revision uint64, peers []PeerWord) bool {
	if now.Sub(confirmed) <= fence {
		return true
	}
	heard := 1
	for _, p := range peers {
		if !p.Fresh {
			continue
		}
		if p.StoreReachable || p.Revision > revision {
			return false
		}
		heard++
	}
	return heard > 1 && 2*heard > 1+len(peers)
}
