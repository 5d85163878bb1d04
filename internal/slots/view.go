package slots

import (
	"slices"
	"time"

	"persimmonbay/internal/membership"
)

// View is what an entry knows about the entries that are registered in the
// platform's store. It is immutable.
type View struct {
	Self          membership.EntryID
	ProcessAge    time.Duration                    // of this process
	NoPredecessor bool                             // no earlier process of Self was registered when this one started
	Members       []membership.EntryID             // registered ones and Self, sorted
	LastSeen      map[membership.EntryID]time.Time // absent entries: when each was last seen registered or sent a heartbeat
	Departed      map[membership.EntryID]bool      // entries in LastSeen that reported that they were leaving
}

// MostSilent reports whether more entries became absent without notice than are
// present. The absent ones may be cut off together from the store and this entry,
// take that for an outage of the store, and go on using their slots.
func (v *View) MostSilent() bool {
	silent := 0
	for id := range v.LastSeen {
		if !v.Departed[id] {
			silent++
		}
	}
	return silent > len(v.Members)
}

// Has reports whether id is a member.
func (v *View) Has(id membership.EntryID) bool {
	_, found := slices.BinarySearch(v.Members, id)
	return found
}

// Home returns the home of an upstream.
func (v *View) Home(upstream string) membership.EntryID { return Home(upstream, v.Members) }
